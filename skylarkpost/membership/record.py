"""State that the membership core keeps for each other instance."""

from skylarkpost.membership.member import Member
from skylarkpost.membership.messages import MemberInfo

__all__ = ["MISSED_BEFORE_PROBE", "PeerRecord", "RelayedList"]

MISSED_BEFORE_PROBE = 3


class PeerRecord:
    """One other instance.

    Attributes
    ----------
    instance, boot, address, data_centre : str
        As in `skylarkpost.membership.Member`.
    leaving : bool
        Whether it said that it leaves.
    heard_at : float or None
        When the last heartbeat was sent that it answered.
    missed : int
        Heartbeats in a row without an answer.
    silent_since : float or None
        When it was first called silent.
    next_beat_at : float
        When the next heartbeat is due.
    awaited : int or None
        Sequence number of the heartbeat that is under way.
    reported_state : MemberState or None
        The state that was last told to the rest of the instance.
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
        """Whether the next heartbeat goes out on a new connection."""
        return self.missed > 0 and self.missed % MISSED_BEFORE_PROBE == 0

    @property
    def is_unresponsive(self):
        """Whether the probe on a new connection was missed as well."""
        return self.heard_at is None or self.missed > MISSED_BEFORE_PROBE

    def note_alive(self, at):
        """Note that it ran at some moment.

        Parameters
        ----------
        at : float
            In seconds of this instance's clock.
        """
        self.missed = 0
        if self.heard_at is None or at > self.heard_at:
            self.heard_at = at

    def reset_liveness(self):
        """Drop the proof of life; from now on others tell of this instance."""
        self.awaited = None
        if not self.is_unresponsive:
            self.heard_at = None
            self.missed = 0

    def as_info(self, *, silent):
        """Return what is told to other instances of it.

        Parameters
        ----------
        silent : bool
            Whether this instance does not hear it.

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
        """Return what the rest of the instance sees of it.

        Parameters
        ----------
        state : MemberState
            Its state.
        heard_at : float or None
            First-hand or relayed.

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
    """The list of members that one peer gave.

    Parameters
    ----------
    version : int
        The peer's version of it.
    members : iterable of MemberInfo
        The list; kept by instance.
    """

    __slots__ = ("members", "version")

    def __init__(self, *, version, members):
        self.version = version
        self.members = {info.instance: info for info in members}
