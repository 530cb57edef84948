"""Limits of teams, and the shares of them."""

from typing import NamedTuple

__all__ = ["Grant", "SlotShare", "TeamLimit"]


class TeamLimit(NamedTuple):
    """Rate and burst of a team over the whole fleet.

    Attributes
    ----------
    rate : float
        Tokens a second.
    burst : float
        Tokens.
    """

    rate: float
    burst: float


class SlotShare(NamedTuple):
    """A share slot that this instance may use.

    Attributes
    ----------
    claim : int
        Offset of the record by which this instance got it.
    since : float
        Time from which its tokens accrue; minus infinity if nobody ever had
        the slot before, so that its buckets start full.
    balances : dict of str to float
        Tokens by team that the last owner handed over with it.
    """

    claim: int
    since: float
    balances: dict


class Grant(NamedTuple):
    """A share as it is lent.

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
