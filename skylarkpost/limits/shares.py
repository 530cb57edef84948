"""Limits of teams, and shares of those limits."""

from typing import NamedTuple

__all__ = ["Grant", "SlotShare", "TeamLimit"]


class TeamLimit(NamedTuple):
    """Rate and burst of a team over the whole fleet.

    Attributes
    ----------
    rate : float
        Tokens per second.
    burst : float
        Maximum number of tokens held.
    """

    rate: float
    burst: float


class SlotShare(NamedTuple):
    """A share slot that this instance may use.

    Attributes
    ----------
    claim : int
        Offset of the record by which this instance claimed it.
    since : float
        Time from which its tokens accrue; minus infinity if the slot had no
        owner before, so that its buckets start full.
    balances : dict of str to float
        Tokens by team that the previous owner handed over with it.
    """

    claim: int
    since: float
    balances: dict


class Grant(NamedTuple):
    """A share that is lent to a pool holder.

    Attributes
    ----------
    lease_id : str
        Unique among all leases.
    rate, burst : float
        Capacity that is lent.
    level : float
        Tokens that are lent with it.
    """

    lease_id: str
    rate: float
    burst: float
    level: float
