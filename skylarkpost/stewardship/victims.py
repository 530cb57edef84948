"""Selects the adapter to evict among those known to be idle."""

from skylarkpost.stewardship.eviction import (
    AdapterUsage,
    eviction_policy,
    expected_rate,
)
from skylarkpost.stewardship.residency import HOLDS_COPY, AdapterState

__all__ = ["VictimChooser"]

DEMAND_HORIZON_S = 100.0


class VictimChooser:
    """Ranks adapters that are provably not in use, lowest score first.

    Parameters
    ----------
    residency : Residency
        Adapters on the engine.
    ledger : TicketLedger
        Granted tickets.
    queue : FairQueue
        Waiting requests.
    demand : Demand
        Recent demand for adapters.
    eviction : str
        Name of a registered eviction policy.

    Attributes
    ----------
    pinned : set of str
        Adapters that are never evicted.
    adopted : set of str
        Adapters that appeared without an order of this steward.
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
            Earliest time at which the steward may evict, in seconds.
        load_cost : float
            Duration of a load, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of str
            In ascending order of score.
        """
        waited_for = self.queue.ready_adapters()
        idle = [
            name
            for name in self.residency.adapters
            if name not in waited_for and self._is_evictable(name, evicts_from)
        ]
        return sorted(idle, key=lambda name: self.eviction_key(name, load_cost, now))

    def eviction_key(self, name, load_cost, now):
        """Return the sort key of an adapter; the lowest is evicted first.

        Parameters
        ----------
        name : str
            The adapter.
        load_cost : float
            Duration of a load, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        tuple
        """
        is_draining = self.residency.state(name) is AdapterState.DRAINING
        score = self.score(self.usage(name, load_cost, now))
        return (not is_draining, score, name)

    def usage(self, name, load_cost, now):
        """Return the input of the eviction policy for an adapter.

        Parameters
        ----------
        name : str
            The adapter.
        load_cost : float
            Duration of a load, in seconds.
        now : float
            Current time, in seconds.

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
        """Return the expected requests for the next adapter to be evicted.

        Parameters
        ----------
        load_cost : float
            Duration of a load, in seconds.
        now : float
            Current time, in seconds.

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
