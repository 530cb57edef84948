"""Chooses the adapter that leaves an engine, among those that are idle."""

from skylarkpost.stewardship.eviction import (
    AdapterUsage,
    eviction_policy,
    expected_rate,
)
from skylarkpost.stewardship.residency import HOLDS_COPY, AdapterState

__all__ = ["VictimChooser"]

DEMAND_HORIZON_S = 100.0


class VictimChooser:
    """Finds adapters that are certainly not in use, the least worth first.

    Parameters
    ----------
    residency : Residency
        What the engine holds.
    ledger : TicketLedger
        Tickets that are out.
    queue : FairQueue
        Requests that wait.
    demand : Demand
        Demand for adapters.
    eviction : str
        Name of a registered eviction policy.

    Attributes
    ----------
    pinned : set of str
        Adapters that are never evicted.
    adopted : set of str
        Adapters that came without a known order.
    """

    def __init__(self, *, residency, ledger, queue, demand, eviction):
        self.residency = residency
        self.ledger = ledger
        self.queue = queue
        self.demand = demand
        self.score = eviction_policy(eviction)
        self.pinned = set()
        self.adopted = set()

    def choose(self, evicts_from, load_cost, now):
        """Return the adapters that may be evicted now.

        Parameters
        ----------
        evicts_from : float
            Time from which the steward may evict, in seconds.
        load_cost : float
            Seconds that a load takes.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of str
            The one that is worth least first.
        """
        waited_for = self.queue.ready_adapters()
        idle = [
            name
            for name in self.residency.adapters
            if name not in waited_for and self._is_evictable(name, evicts_from)
        ]
        return sorted(idle, key=lambda name: self.eviction_key(name, load_cost, now))

    def eviction_key(self, name, load_cost, now):
        """Return the sort key of an adapter; the lowest leaves first.

        Parameters
        ----------
        name : str
            The adapter.
        load_cost : float
            Seconds that a load takes.
        now : float
            The present time, in seconds.

        Returns
        -------
        tuple
        """
        is_draining = self.residency.state(name) is AdapterState.DRAINING
        score = self.score(self.usage(name, load_cost, now))
        return (not is_draining, score, name)

    def usage(self, name, load_cost, now):
        """Return what the eviction policy knows of an adapter.

        Parameters
        ----------
        name : str
            The adapter.
        load_cost : float
            Seconds that a load takes.
        now : float
            The present time, in seconds.

        Returns
        -------
        AdapterUsage
        """
        since = self.residency.adapters[name].since
        idle_since = self.ledger.last_end.get(name, since)
        return AdapterUsage(
            lora_name=name,
            rate=self.demand.rate(name, now),
            idle_for=0.0 if self.ledger.in_use(name) else now - idle_since,
            load_cost=load_cost,
        )

    def min_victim_demand(self, load_cost, now):
        """Return the requests expected for the adapter that would leave next.

        Parameters
        ----------
        load_cost : float
            Seconds that a load takes.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Requests within `DEMAND_HORIZON_S`; 0 if a slot is free.
        """
        if self.residency.free_slots():
            return 0.0
        rates = (
            expected_rate(self.usage(name, load_cost, now))
            for name in self.residency.usable()
        )
        return min(rates, default=0.0) * DEMAND_HORIZON_S

    def _is_evictable(self, name, evicts_from):
        if self.residency.state(name) not in HOLDS_COPY or name in self.pinned:
            return False
        if self.ledger.in_use(name):
            return False
        used_at = self.residency.used_at(name)
        if used_at is not None and used_at > self.ledger.last_end.get(name, 0.0):
            return False
        doubt = self._uncertain_since(name, evicts_from)
        idle_at = self.residency.idle_at(name)
        if doubt is None:
            return True
        return idle_at is not None and idle_at > doubt

    def _uncertain_since(self, name, evicts_from):
        since = self.residency.adapters[name].since
        times = [self.ledger.uncertain_at.get(name)]
        if name in self.adopted:
            times.append(since)
        if since <= evicts_from:
            times.append(evicts_from)
        return max((each for each in times if each is not None), default=None)
