"""State that the membership core keeps for each other instance."""

from skylarkpost.membership.member import Member
from skylarkpost.membership.messages import MemberInfo

__all__ = ["MISSED_BEFORE_PROBE", "PeerRecord", "RelayedList"]

MISSED_BEFORE_PROBE = 3


class PeerRecord:
    """State of one other instance.

    Attributes
    ----------
    instance, boot, address, data_centre : str
        As in `skylarkpost.membership.Member`.
    leaving : bool
        Whether it announced that it is leaving.
    heard_at : float or None
        Send time of the last heartbeat that it answered.
    missed : int
        Consecutive heartbeats without an answer.
    silent_since : float or None
        Since when it has been considered silent.
    next_beat_at : float
        When the next heartbeat is due.
    awaited : int or None
        Sequence number of the heartbeat in flight.
    reported_state : MemberState or None
        The last state for which a change was reported.
    """

    __slots__ = (
        "address",
        "awaited",
        "boot",
        "data_centre",
        "heard_at",
        "instance",
        "leaving",
        "missed",
        "next_beat_at",
        "reported_state",
        "silent_since",
    )

    def __init__(self, *, instance, boot, address, data_centre, now):
        self.instance = instance
        self.boot = boot
        self.address = address
        self.data_centre = data_centre
        self.leaving = False
        self.heard_at = None
        self.missed = 0
        self.silent_since = None
        self.next_beat_at = now
        self.awaited = None
        self.reported_state = None

    @property
    def key(self):
        """Instance and boot."""
        return (self.instance, self.boot)

    @property
    def needs_probe(self):
        """Whether the next heartbeat must use a new connection."""
        return self.missed > 0 and self.missed % MISSED_BEFORE_PROBE == 0

    @property
    def is_unresponsive(self):
        """Whether it never answered, or also missed the probe on a new connection."""
        return self.heard_at is None or self.missed > MISSED_BEFORE_PROBE

    def note_alive(self, at):
        """Record that it was alive at a given time.

        Parameters
        ----------
        at : float
            Time in seconds of this instance's clock.
        """
        self.missed = 0
        if self.heard_at is None or at > self.heard_at:
            self.heard_at = at

    def reset_liveness(self):
        """Forget first-hand liveness; from now on it comes from other members."""
        self.awaited = None
        if not self.is_unresponsive:
            self.heard_at = None
            self.missed = 0

    def as_info(self, *, silent):
        """Return the description of it that is sent to other instances.

        Parameters
        ----------
        silent : bool
            Whether it does not answer this instance.

        Returns
        -------
        MemberInfo
        """
        return MemberInfo(
            self.instance,
            self.boot,
            self.address,
            self.data_centre,
            self.leaving,
            silent,
        )

    def as_member(self, state, heard_at):
        """Return it as a `Member`.

        Parameters
        ----------
        state : MemberState
            Its current state.
        heard_at : float or None
            Last time known alive, first-hand or reported by others.

        Returns
        -------
        Member
        """
        return Member(
            self.instance,
            self.boot,
            self.address,
            self.data_centre,
            state,
            heard_at,
        )


class RelayedList:
    """The member list received from one peer.

    Parameters
    ----------
    version : int
        Version that the peer assigned.
    members : iterable of MemberInfo
        The list; stored by instance.
    """

    __slots__ = ("members", "version")

    def __init__(self, *, version, members):
        self.version = version
        self.members = {info.instance: info for info in members}
