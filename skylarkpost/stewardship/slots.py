"""Plans loads, evictions and drains for the adapter slots of an engine."""

import itertools
import math

from skylarkpost.outcomes import Reason
from skylarkpost.stewardship.demand import Demand
from skylarkpost.stewardship.fairness import FairShares
from skylarkpost.stewardship.load_backoff import LoadBackoff
from skylarkpost.stewardship.messages import (
    LoadAdapter,
    RefuseTicket,
    RequestLoadPermit,
    ReturnLoadPermit,
    UnloadAdapter,
)
from skylarkpost.stewardship.residency import HOLDS_COPY, AdapterState, Residency
from skylarkpost.stewardship.victims import VictimChooser

__all__ = ["SlotPlanner"]

LOAD_COST_SMOOTHING = 0.2
PERMIT_TIMEOUT_S = 2.0


class SlotPlanner:
    """Loads awaited adapters and frees slots without evicting any in use.

    Parameters
    ----------
    target : skylarkpost.config.Target
        The target.
    fencing_number : int
        Fencing number of the steward.
    policy : StewardPolicy
        Limits and names of policies.
    queue : FairQueue
        Waiting requests.
    ledger : TicketLedger
        Granted tickets.
    current_lora_name : callable
        Takes an adapter's name and returns that of its version in force.

    Attributes
    ----------
    victims : VictimChooser
        Selects the adapter to evict.
    barred : dict of str to float
        Adapters that a delayed unload order may still remove, and until when;
        they are not used on this target meanwhile.
    load_cost : float
        Smoothed duration of a load order, in seconds.
    evictions : int
        Number of unload orders issued.
    """

    def __init__(
        self, *, target, fencing_number, policy, queue, ledger, current_lora_name
    ):
        self.current_lora_name = current_lora_name
        self.base_model = target.pool
        self.fencing_number = fencing_number
        self.policy = policy
        self.queue = queue
        self.ledger = ledger
        self.residency = Residency(slots=target.slots, report_lag=policy.report_lag)
        self.demand = Demand(half_life=policy.demand_half_life)
        self.backoff = LoadBackoff(
            initial=policy.min_backoff, maximum=policy.max_backoff
        )
        self.load_shares = FairShares()
        self.barred = {}
        self.prefetch_names = []
        self.load_cost = policy.initial_load_cost
        self.evictions = 0
        self.victims = VictimChooser(
            residency=self.residency,
            ledger=ledger,
            queue=queue,
            demand=self.demand,
            eviction=policy.eviction,
        )
        self._orders = {}
        self._order_numbers = itertools.count(1)
        self._permits = 0
        self._permit_at = None
        self._permit_requested = False
        self._failed_unloads = set()

    def is_usable(self, lora_name):
        """Return whether requests for an adapter may be sent to the engine now.

        Parameters
        ----------
        lora_name : str
            The adapter, or the base model, which is always resident.

        Returns
        -------
        bool
        """
        if lora_name in self.barred:
            return False
        return lora_name == self.base_model or self.residency.is_usable(lora_name)

    def bar(self, lora_name, until):
        """Keep an adapter from being used while an order may still remove it.

        Parameters
        ----------
        lora_name : str
            The adapter.
        until : float
            Until when, in seconds.
        """
        self.barred[lora_name] = until
        self._note_usability(lora_name)

    def holds(self, lora_name):
        """Return whether an adapter is on the engine and not being unloaded.

        Parameters
        ----------
        lora_name : str
            The adapter, or the base model.

        Returns
        -------
        bool
        """
        state = self.residency.state(lora_name)
        return lora_name == self.base_model or state in HOLDS_COPY

    def usable_since(self, lora_name):
        """Return when an adapter became resident.

        Parameters
        ----------
        lora_name : str
            The adapter, or the base model.

        Returns
        -------
        float
            Seconds; minus infinity for the base model.
        """
        adapter = self.residency.adapters.get(lora_name)
        return -math.inf if adapter is None else adapter.since

    def advance(self, now, *, evicts_from):
        """Decide which orders to issue.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        evicts_from : float or None
            Earliest time at which adapters may be evicted; None if never.

        Returns
        -------
        list of Command
        """
        if self.residency.boot is None:
            return []
        self._expire_bars(now)
        may_evict = evicts_from is not None and now >= evicts_from
        candidates = self._load_candidates(now)
        needs_room = may_evict and candidates
        victims = []
        if needs_room:
            victims = self.victims.choose(evicts_from, self.load_cost, now)
        commands = self._repeat_unloads(now)
        if may_evict:
            commands += self._unload_replaced(now)
        commands += self._use_permits(candidates, victims, now)
        commands += self._request_permit(candidates, victims, now)
        if may_evict:
            self._plan_drains(candidates, victims, now)
        return commands

    def permit_granted(self, now):
        """Record one granted load permit.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        self._permit_requested = False
        self._permits += 1
        self._permit_at = now

    def permit_denied(self):
        """Record a denied permit, so that it is requested again."""
        self._permit_requested = False

    def order_ended(self, order, lora_name, *, succeeded, certain, now):
        """Record the outcome of an order, known or unknown.

        Parameters
        ----------
        order : int
            Number of the order.
        lora_name : str
            Adapter to which it applied.
        succeeded : bool
            Whether the engine executed it.
        certain : bool
            Whether the outcome on the engine is known; if not, the order may
            still arrive.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Command
            Refusals of requests that waited for a failed load.
        """
        if self._orders.get(lora_name) != order:
            return []
        del self._orders[lora_name]
        if self.residency.state(lora_name) is AdapterState.LOADING:
            return self._load_ended(lora_name, succeeded, certain, now)
        self._unload_ended(lora_name, succeeded, certain, now)
        return []

    def order_withdrawn(self, order, lora_name, *, now):
        """Revert an order that was not executed or never sent.

        Parameters
        ----------
        order : int
            Number of the order.
        lora_name : str
            Adapter to which it applied.
        now : float
            Current time, in seconds.
        """
        if self._orders.get(lora_name) != order:
            return
        del self._orders[lora_name]
        if self.residency.state(lora_name) is AdapterState.LOADING:
            self.residency.withdraw_load(lora_name)
        elif self.residency.state(lora_name) is AdapterState.UNLOADING:
            self._unload_ended(lora_name, succeeded=False, certain=True, now=now)

    def apply_report(self, report, now):
        """Apply a load report.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            Time of receipt, in seconds.

        Returns
        -------
        ResidencyChange or None
            What changed; None if the report is outdated.
        list of Command
            Refusals of requests that waited for a failed load.
        """
        before = self.residency.usable()
        change = self.residency.apply_report(report, now=now)
        if change is None:
            return None, []
        if change.restarted:
            self._restart(before, now)
        for name in change.lost:
            self._note_usability(name)
            self.victims.adopted.discard(name)
        for name in change.gained:
            self._adopt(name, now)
        refusals = []
        for name in change.failed_loads:
            refusals += self._refuse_waiters(name, now)
        self._failed_unloads.update(change.failed_unloads)
        for name in report.resident:
            idle_at = self.residency.idle_at(name)
            if idle_at is not None:
                self.ledger.drop_expired(name, idle_at=idle_at)
        return change, refusals

    def has_orders(self):
        """Return whether an order is in flight.

        Returns
        -------
        bool
        """
        return bool(self._orders)

    def used_slots(self):
        """Return how many slots hold adapters that can't be evicted at present.

        Returns
        -------
        int
            Slots of adapters that requests run on, and of loads in progress.
        """
        return sum(
            self.ledger.in_use(name)
            or self.residency.state(name) is AdapterState.LOADING
            for name in self.residency.adapters
        )

    def prefetch(self, lora_names):
        """Set the adapters to load into slots that are otherwise unused.

        Parameters
        ----------
        lora_names : list of str
            The adapters, in descending priority.
        """
        self.prefetch_names = list(lora_names)[: self.residency.slots]

    def _load_candidates(self, now):
        blocked = [
            waiters
            for waiters in self.queue.blocked_adapters(now)
            if self.residency.state(waiters.lora_name) is None
            and not self._other_versions(waiters.lora_name)
            and waiters.lora_name not in self.barred
            and not self.backoff.remaining(waiters.lora_name, now)
        ]
        blocked.sort(key=self._load_priority)
        return blocked

    def _other_versions(self, lora_name):
        # With one version per adapter, unload orders carry no version, so the
        # old version has to go before the new one is loaded.
        if not self.policy.one_version:
            return []
        adapter = _adapter_name(lora_name)
        return [
            name
            for name in self.residency.adapters
            if name != lora_name and _adapter_name(name) == adapter
        ]

    def _unload_replaced(self, now):
        return [
            self._order_unload(name, now)
            for waiters in self.queue.blocked_adapters(now)
            for name in self._other_versions(waiters.lora_name)
            if self.residency.state(name) in HOLDS_COPY and not self.ledger.in_use(name)
        ]

    def _load_priority(self, waiters):
        team = waiters.oldest.request.team
        share = self.load_shares.start_tag(team)
        return (-waiters.urgency, share, -waiters.count, waiters.oldest.sequence)

    def _use_permits(self, candidates, victims, now):
        commands = []
        while self._permits and candidates and self.residency.free_slots():
            commands.append(self._order_load(candidates.pop(0), now))
        while self._permits and not candidates and self._next_prefetch(now):
            commands.append(self._order_prefetch(now))
        unloading = self.residency.count(AdapterState.UNLOADING)
        needed = min(self._permits, len(candidates)) - unloading
        for _ in range(min(needed, len(victims))):
            commands.append(self._order_unload(victims.pop(0), now))
        has_use = candidates or self._next_prefetch(now)
        expired = self._permits and now - self._permit_at > PERMIT_TIMEOUT_S
        if self._permits and (not has_use or expired):
            commands += [ReturnLoadPermit()] * self._permits
            self._permits = 0
        return commands

    def _order_load(self, waiters, now):
        request = waiters.oldest.request
        self.load_shares.charge(request.team, weight=request.weight, cost=1.0)
        return self._issue_load(waiters.lora_name, now)

    def _order_prefetch(self, now):
        name = self._next_prefetch(now)
        self.prefetch_names.remove(name)
        return self._issue_load(name, now)

    def _issue_load(self, name, now):
        assert self.residency.state(name) is None
        self._permits -= 1
        self.residency.set_state(name, AdapterState.LOADING, now=now, pending=True)
        self.victims.adopted.discard(name)
        return LoadAdapter(
            self._next_order_number(name),
            name,
            self.residency.boot,
            self.fencing_number,
        )

    def _order_unload(self, name, now):
        assert not self.ledger.in_use(name), f"unload of {name}, which is in use"
        assert name not in self.victims.pinned
        self.residency.set_state(name, AdapterState.UNLOADING, now=now, pending=True)
        self._note_usability(name)
        self.evictions += 1
        return UnloadAdapter(
            self._next_order_number(name),
            name,
            self.residency.boot,
            self.fencing_number,
        )

    def _next_order_number(self, name):
        self._orders[name] = next(self._order_numbers)
        return self._orders[name]

    def _next_prefetch(self, now):
        if not self.residency.free_slots():
            return None
        for name in self.prefetch_names:
            is_wanted = self.residency.state(name) is None and name not in self.barred
            is_wanted = is_wanted and not self._other_versions(name)
            # A newer version may have been named since.
            is_wanted = is_wanted and self.current_lora_name(name) == name
            if is_wanted and not self.backoff.remaining(name, now):
                return name
        return None

    def _request_permit(self, candidates, victims, now):
        if self._permit_requested:
            return []
        in_progress = self.residency.count(AdapterState.LOADING) + self._permits
        if in_progress >= self.policy.max_concurrent_loads:
            return []
        room = self.residency.free_slots() + len(victims) - self._permits
        if candidates and room > 0:
            self._permit_requested = True
            first = candidates[0]
            return [RequestLoadPermit(first.urgency, len(candidates))]
        if not candidates and self._next_prefetch(now):
            self._permit_requested = True
            return [RequestLoadPermit(0, 0)]
        return []

    def _plan_drains(self, candidates, victims, now):
        draining = self.residency.count(AdapterState.DRAINING)
        freed = self.residency.free_slots() + len(victims)
        freed += self.residency.count(AdapterState.UNLOADING)
        overdue = [
            waiters
            for waiters in candidates
            if now - waiters.oldest.queued_at > self.policy.drain_after
        ]
        needed = min(len(overdue), self.policy.max_concurrent_loads) - freed
        if draining < needed:
            self._drain_one(now)
        elif draining and not candidates:
            self._undrain(now)

    def _drain_one(self, now):
        oldest = now - self.policy.min_residence
        names = [
            name
            for name, adapter in self.residency.adapters.items()
            if adapter.state is AdapterState.RESIDENT
            and adapter.since <= oldest
            and name not in self.victims.pinned
        ]
        if names:
            name = min(
                names, key=lambda n: self.victims.eviction_key(n, self.load_cost, now)
            )
            self.residency.set_state(name, AdapterState.DRAINING, now=now)
            self._note_usability(name)

    def _undrain(self, now):
        for name, adapter in self.residency.adapters.items():
            if adapter.state is AdapterState.DRAINING:
                self.residency.set_state(name, AdapterState.RESIDENT, now=now)
                self._note_usability(name)

    def _load_ended(self, name, succeeded, certain, now):
        if succeeded:
            started_at = self.residency.adapters[name].changed_at
            self.load_cost += LOAD_COST_SMOOTHING * (now - started_at - self.load_cost)
            self.residency.set_state(name, AdapterState.RESIDENT, now=now)
            self.backoff.succeeded(name)
            self.ledger.drop_adapter(name)
            self._note_usability(name)
            return []
        if not certain:
            self.residency.set_state(name, AdapterState.LOADING, now=now)
            return []
        self.residency.set_state(name, None, now=now)
        return self._refuse_waiters(name, now)

    def _unload_ended(self, name, succeeded, certain, now):
        if succeeded:
            self.residency.set_state(name, None, now=now)
            self.ledger.drop_adapter(name)
            return
        if certain and name not in self.barred:
            self.residency.set_state(name, AdapterState.RESIDENT, now=now)
            self._note_usability(name)
            return
        self.residency.set_state(name, AdapterState.UNLOADING, now=now)
        if not certain:
            self.bar(name, now + self.policy.order_linger)

    def _refuse_waiters(self, name, now):
        until = self.backoff.failed(name, now)
        refusals = []
        for entry in self.queue.entries_for(name):
            request = entry.request
            self.queue.remove(request.ticket_id)
            refusals.append(
                RefuseTicket(
                    request.ticket_id, request.holder, Reason.LOAD_FAILED, until - now
                )
            )
        return refusals

    def _adopt(self, name, now):
        self.victims.adopted.add(name)
        if name in self.barred:
            self.residency.set_state(name, AdapterState.UNLOADING, now=now)
        self._note_usability(name)

    def _note_usability(self, name):
        """Make the requests for an adapter ready exactly while it is usable."""
        self.queue.set_ready(name, ready=self.is_usable(name))

    def _expire_bars(self, now):
        for name, until in list(self.barred.items()):
            if until <= now:
                del self.barred[name]
                self._note_usability(name)

    def _repeat_unloads(self, now):
        failed_unloads, self._failed_unloads = self._failed_unloads, set()
        return [
            self._order_unload(name, now)
            for name in sorted(failed_unloads)
            if self.residency.state(name) is AdapterState.UNLOADING
            and name not in self._orders
            and not self.ledger.in_use(name)
        ]

    def _restart(self, before, now):
        self._orders = {}
        self.victims.adopted.clear()
        self._failed_unloads = set()
        self.barred = {}
        for name in before:
            self._note_usability(name)
        wanted = {}
        for name in self.demand.counts:
            if name != self.base_model:
                current = self.current_lora_name(name)
                wanted[current] = wanted.get(current, 0.0) + self.demand.value(
                    name, now
                )
        self.prefetch(sorted(wanted, key=lambda name: -wanted[name]))


def _adapter_name(lora_name):
    return lora_name.rpartition("@")[0]
