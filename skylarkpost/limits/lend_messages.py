"""Messages with which pool holders borrow and return shares."""

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
        Id of the lease.
    """

    team: str
    lease_id: str


class TeamGrant(NamedTuple):
    """A share of one team that is lent to a pool holder.

    Attributes
    ----------
    team : str
        Name of the team.
    grant : Grant
        The share; without tokens if its lease is renewed.
    """

    team: str
    grant: Grant


class ShareRequest(NamedTuple):
    """Message: a pool holder requests shares from a slot owner.

    Attributes
    ----------
    holder : SlotOwner
        Instance and boot of the pool holder.
    teams : tuple of str
        Teams whose pools it holds.
    leases : tuple of TeamLease
        Leases that it has from this owner, to be renewed.
    """

    holder: tuple
    teams: tuple
    leases: tuple


class ShareReply(NamedTuple):
    """Message: a slot owner's answer to a `ShareRequest`.

    Attributes
    ----------
    lent : tuple of TeamGrant
        New leases.
    renewed : tuple of TeamGrant
        Renewed leases.
    recalled : tuple of TeamLease
        Leases that must be returned at once.
    """

    lent: tuple = ()
    renewed: tuple = ()
    recalled: tuple = ()


class ShareReturn(NamedTuple):
    """Message: a pool holder returns a share.

    Attributes
    ----------
    lease : TeamLease
        Lease on the share.
    tokens : float
        Tokens that are returned with it.
    """

    lease: TeamLease
    tokens: float
