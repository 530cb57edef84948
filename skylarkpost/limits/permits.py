"""Permits to load adapters from the weight store, over all instances."""

import math
from dataclasses import dataclass
from typing import NamedTuple

from skylarkpost.limits.bucket import Receipt
from skylarkpost.limits.pool import DrawRefused, NoShares
from skylarkpost.limits.shares import TeamLimit

__all__ = ["WEIGHT_STORE", "LoadPermit", "LoadPermits", "LoadWait"]

# Not a valid name of a team.
WEIGHT_STORE = "#weight-store"
# A share that has just come may still have loads of its last holder in transit.
SETTLE_TIME_S = 1.0
PERMIT_LIFETIME_S = 10.0
RETRY_DELAY_S = 0.1


@dataclass(frozen=True, kw_only=True)
class LoadPermit:
    """An adapter may be loaded.

    Parameters
    ----------
    permit : str
        Id of the permit, for its release.
    address : str or None
        Peer that gave it; None if that was this instance.
    """

    permit: str
    address: str | None = None


@dataclass(frozen=True, kw_only=True)
class LoadWait:
    """No adapter may be loaded just now.

    Parameters
    ----------
    seconds : float
        After which to ask again.
    """

    seconds: float


class _IssuedPermit(NamedTuple):
    ends_at: float
    receipt: Receipt


class LoadPermits:
    """Gives permits out of the pool of the weight store's limit.

    The rate is a limit like that of a team, one token a load. Each share
    stands besides for its part of the loads that may be in transit at once.

    Parameters
    ----------
    core : ShareExchange
        Shares and pools of this instance.
    total_slots : int
        Number of share slots of the whole fleet.
    rate : float
        Loads a second.
    in_transit : int
        Loads at once.
    prefix : str
        Instance and boot, as a prefix of ids.
    """

    def __init__(self, *, core, total_slots, rate, in_transit, prefix):
        self.core = core
        # One token a slot, so that a single share admits a load, too.
        self.limit = TeamLimit(rate, float(total_slots))
        self.in_transit = in_transit
        self.prefix = prefix
        self.outstanding = {}
        self.number = 0

    def acquire(self, *, now):
        """Take a permit from the pool that this instance holds.

        Parameters
        ----------
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        LoadPermit or LoadWait or NoShares
        """
        self._drop_expired(now)
        if not self.core.pools.leases_of(WEIGHT_STORE):
            return NoShares()
        if len(self.outstanding) >= self._capacity(now):
            return LoadWait(seconds=RETRY_DELAY_S)
        answer = self.core.draw_pooled(WEIGHT_STORE, 1.0, now=now)
        if isinstance(answer, NoShares):
            return answer
        if isinstance(answer, DrawRefused):
            return LoadWait(seconds=answer.retry_after or RETRY_DELAY_S)
        return self._issue(answer.receipt, now)

    def acquire_local(self, *, now):
        """Take a permit from the own share, while no pool can be reached.

        Parameters
        ----------
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        LoadPermit or LoadWait
        """
        self._drop_expired(now)
        local_burst = self.core.lender.teams[WEIGHT_STORE].bucket.burst
        if len(self.outstanding) >= self._transit_share(local_burst):
            return LoadWait(seconds=RETRY_DELAY_S)
        receipt = self.core.draw_local(WEIGHT_STORE, 1.0, now=now)
        if receipt is None:
            return LoadWait(seconds=RETRY_DELAY_S)
        return self._issue(receipt, now)

    def release(self, permit, *, unused, now):
        """Note that a load has ended.

        Parameters
        ----------
        permit : str
            Its permit; one that has lapsed is ignored.
        unused : bool
            Whether nothing was loaded.
        now : float
            The present time, in seconds.
        """
        issued = self.outstanding.pop(permit, None)
        if issued is not None and unused:
            self.core.refund(WEIGHT_STORE, issued.receipt, 1.0, now=now)

    def _capacity(self, now):
        burst = sum(
            lease.burst
            for lease in self.core.pools.leases_of(WEIGHT_STORE).values()
            if now - lease.joined_at >= SETTLE_TIME_S
        )
        return self._transit_share(burst)

    def _transit_share(self, burst):
        # A hair more, since parts of a whole may not add up in floating point.
        return math.floor(burst / self.limit.burst * self.in_transit + 1e-6)

    def _issue(self, receipt, now):
        self.number += 1
        permit = f"{self.prefix}/permit-{self.number}"
        self.outstanding[permit] = _IssuedPermit(now + PERMIT_LIFETIME_S, receipt)
        return LoadPermit(permit=permit)

    def _drop_expired(self, now):
        expired = [p for p, issued in self.outstanding.items() if now >= issued.ends_at]
        for permit in expired:
            del self.outstanding[permit]
