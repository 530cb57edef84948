"""Commands and events that the membership core returns to its controller."""

from typing import NamedTuple

from skylarkpost.membership.member import Member, MemberState
from skylarkpost.membership.messages import Heartbeat

__all__ = ["SendHeartbeat", "StateChange"]


class StateChange(NamedTuple):
    """A change of a member's state.

    Attributes
    ----------
    member : Member
        The member in its new state.
    before : MemberState or None
        Previous state; None when the member is first seen.
    """

    member: Member
    before: MemberState | None


class SendHeartbeat(NamedTuple):
    """Command to send one heartbeat.

    Attributes
    ----------
    instance, boot, address : str
        Receiver; the boot is empty if it is not known.
    sequence : int
        Sequence number; matches the answer to its heartbeat.
    sent_at : float
        Send time, in seconds.
    digest_version : int
        Highest digest version that it carries.
    heartbeat : Heartbeat
        The message.
    on_new_connection : bool
        Whether to drop the existing connection to the receiver first.
    """

    instance: str
    boot: str
    address: str
    sequence: int
    sent_at: float
    digest_version: int
    heartbeat: Heartbeat
    on_new_connection: bool
