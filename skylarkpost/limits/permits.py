"""Permits that limit adapter loads from the weight store over all instances."""

import math
from dataclasses import dataclass
from typing import NamedTuple

from skylarkpost.limits.bucket import Receipt
from skylarkpost.limits.pool import DrawRefused, NoShares
from skylarkpost.limits.shares import TeamLimit

__all__ = ["WEIGHT_STORE", "LoadPermit", "LoadPermits", "LoadWait"]

# Key of the weight store's limit among the teams; not a valid team name.
WEIGHT_STORE = "#weight-store"
# A share that has just arrived may still cover loads that its previous holder
# permitted and that are in transit.
SETTLE_TIME_S = 1.0
PERMIT_LIFETIME_S = 10.0
RETRY_DELAY_S = 0.1


@dataclass(frozen=True, kw_only=True)
class LoadPermit:
    """A permit to load one adapter.

    Parameters
    ----------
    permit : str
        Id of the permit, for its release.
    address : str or None
        Address of the peer that issued it; None if that was this instance.
    """

    permit: str
    address: str | None = None


@dataclass(frozen=True, kw_only=True)
class LoadWait:
    """No permit is available at present.

    Parameters
    ----------
    seconds : float
        Seconds after which to retry.
    """

    seconds: float


class _IssuedPermit(NamedTuple):
    ends_at: float
    receipt: Receipt


class LoadPermits:
    """Issues load permits within the weight store's rate and concurrency limits.

    The rate is limited like that of a team, at one token per load. In addition,
    each share allows a proportional part of the loads that may be in transit at
    once.

    Parameters
    ----------
    core : ShareExchange
        Shares and pools of this instance.
    total_slots : int
        Number of share slots of the whole fleet.
    rate : float
        Loads per second over the whole fleet.
    in_transit : int
        Concurrent loads over the whole fleet.
    prefix : str
        Instance and boot, as a prefix of permit ids.
    """

    def __init__(self, *, core, total_slots, rate, in_transit, prefix):
        self.core = core
        # A burst of one token per slot lets a single share admit a load.
        self.limit = TeamLimit(rate, float(total_slots))
        self.in_transit = in_transit
        self.prefix = prefix
        self.outstanding = {}
        self.number = 0

    def acquire(self, *, now):
        """Issue a permit from the pool that this instance holds.

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
        """Issue a permit from the local share, while no pool can be reached.

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
        """Release a permit after its load has ended.

        Parameters
        ----------
        permit : str
            Id of the permit; ignored if it has expired.
        unused : bool
            Whether nothing was loaded; the token is refunded then.
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
        # The offset of 1e-6 compensates for rounding errors of the sum of shares.
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
