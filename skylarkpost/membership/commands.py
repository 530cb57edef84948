"""What the membership core tells its shell."""

from typing import NamedTuple

from skylarkpost.membership.member import Member, MemberState
from skylarkpost.membership.messages import Heartbeat

__all__ = ["SendHeartbeat", "StateChange"]


class StateChange(NamedTuple):
    """A member whose state changed.

    Attributes
    ----------
    member : Member
        As it is now.
    before : MemberState or None
        None if it was heard for the first time.
    """

    member: Member
    before: MemberState | None


class SendHeartbeat(NamedTuple):
    """Command: send a heartbeat.

    Attributes
    ----------
    instance, boot, address : str
        To whom; the boot is empty if it is not known.
    sequence : int
        Tells apart the heartbeats to one instance.
    sent_at : float
        When it is sent, in seconds.
    digest_version : int
        Up to which version it carries digests.
    heartbeat : Heartbeat
        What to send.
    on_new_connection : bool
        Whether to drop the connection to it first.
    """

    instance: str
    boot: str
    address: str
    sequence: int
    sent_at: float
    digest_version: int
    heartbeat: Heartbeat
    on_new_connection: bool
