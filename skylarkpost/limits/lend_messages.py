"""Messages by which pool holders borrow shares and return them."""

from typing import NamedTuple

from skylarkpost.limits.shares import Grant

__all__ = ["ShareReply", "ShareRequest", "ShareReturn", "TeamGrant", "TeamLease"]


class TeamLease(NamedTuple):
    """A lease on a share of one team.

    Attributes
    ----------
    team : str
        Name of the team.
    lease_id : str
        The lease.
    """

    team: str
    lease_id: str


class TeamGrant(NamedTuple):
    """A share of one team as it is lent.

    Attributes
    ----------
    team : str
        Name of the team.
    grant : Grant
        What is lent; without tokens if a lease goes on.
    """

    team: str
    grant: Grant


class ShareRequest(NamedTuple):
    """Message: a pool holder asks an owner for its shares.

    Attributes
    ----------
    holder : SlotOwner
        Instance and boot of the pool holder.
    teams : tuple of str
        Teams whose pools it holds.
    leases : tuple of TeamLease
        What it has of this owner, to be renewed.
    """

    holder: tuple
    teams: tuple
    leases: tuple


class ShareReply(NamedTuple):
    """Message: the owner's answer.

    Attributes
    ----------
    lent : tuple of TeamGrant
        New leases.
    renewed : tuple of TeamGrant
        Leases that go on.
    recalled : tuple of TeamLease
        Leases that are to be returned at once.
    """

    lent: tuple = ()
    renewed: tuple = ()
    recalled: tuple = ()


class ShareReturn(NamedTuple):
    """Message: a pool holder returns a share.

    Attributes
    ----------
    lease : TeamLease
        The lease.
    tokens : float
        Tokens that come back with it.
    """

    lease: TeamLease
    tokens: float
