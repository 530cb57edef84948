"""Fair queue of the requests that wait for one target."""

import heapq
import itertools
from collections import deque
from typing import NamedTuple

from skylarkpost.stewardship.fairness import FairShares
from skylarkpost.stewardship.messages import TicketRequest
from skylarkpost.stewardship.queue_orders import (
    begins_in_time,
    effective_urgency,
    queue_order,
)

__all__ = ["AdapterWaiters", "FairQueue", "QueueEntry"]


# Part of the engine's time that orders which compare goals give to less urgent
# requests while more urgent ones fill the engine.
FLOOR_FRACTION = 0.15
# Time that may be saved up for them, in seconds: a long prompt.
MAX_FLOOR_CREDIT_S = 1.0


class QueueEntry(NamedTuple):
    """A request in the queue.

    Attributes
    ----------
    request : TicketRequest
        The request.
    queued_at : float
        Time of arrival, in seconds.
    sequence : int
        Position in the order of arrival.
    """

    request: TicketRequest
    queued_at: float
    sequence: int


class AdapterWaiters(NamedTuple):
    """Requests that wait for one adapter that is not resident.

    Attributes
    ----------
    lora_name : str
        The adapter.
    count : int
        Number of waiting requests.
    urgency : int
        Highest effective urgency among them.
    oldest : QueueEntry
        The entry that has waited longest.
    """

    lora_name: str
    count: int
    urgency: int
    oldest: QueueEntry


class FairQueue:
    """Waiting requests, separated by whether their adapter is usable.

    Requests that wait for a load never block those that do not.

    Parameters
    ----------
    limit : int
        Maximum number of waiting requests.
    order : str
        Name of a registered queue order.
    ageing : float
        Seconds of waiting that raise the urgency of a request by one.
    """

    def __init__(self, *, limit, order, ageing):
        self.limit = limit
        self.order = queue_order(order)
        self.ageing = ageing
        self.shares = FairShares()
        self.entries = {}
        self.team_counts = {}
        self._sequence = itertools.count()
        self._ready = {}
        self._blocked = {}
        self._deadlines = []
        self.floor_credit = 0.0
        self.floor_spent = {}

    def __len__(self):
        return len(self.entries)

    def add(self, request, *, ready, now):
        """Add a request.

        Parameters
        ----------
        request : TicketRequest
            The request; its ticket id must not be in the queue.
        ready : bool
            Whether its adapter is usable now.
        now : float
            Current time, in seconds.

        Returns
        -------
        QueueEntry or None
            The entry displaced because the queue is full: the least urgent,
            newest entry of the team with the largest share of the queue
            relative to its weight, or the new request itself. None if there
            was space.
        """
        assert request.ticket_id not in self.entries
        entry = QueueEntry(request, now, next(self._sequence))
        displaced = None
        if len(self.entries) >= self.limit:
            displaced = self._choose_displaced(entry)
            if displaced is entry:
                return entry
            self.remove(displaced.request.ticket_id)
        self.entries[request.ticket_id] = entry
        self.team_counts[request.team] = self.team_counts.get(request.team, 0) + 1
        heapq.heappush(self._deadlines, (request.deadline, request.ticket_id))
        self._insert(entry, ready=ready)
        assert len(self.entries) <= self.limit
        return displaced

    def remove(self, ticket_id):
        """Remove a request.

        Parameters
        ----------
        ticket_id : str
            Its ticket id.

        Returns
        -------
        QueueEntry or None
            The entry; None if it was not in the queue.
        """
        entry = self.entries.pop(ticket_id, None)
        if entry is not None:
            team = entry.request.team
            self.team_counts[team] -= 1
            if not self.team_counts[team]:
                del self.team_counts[team]
            self._unblock(entry)
        return entry

    def pop(self, now, *, suspects=True, work=lambda request: 0.0):
        """Remove and return the ready request that is served next.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        suspects : bool
            Whether a request that may have crashed an engine is eligible.
        work : callable
            Takes a `TicketRequest` and returns its seconds of prefill.

        Returns
        -------
        QueueEntry or None
        """
        candidates = [
            entry
            for key in list(self._ready)
            for entry in self._candidates(key)
            if suspects or not entry.request.suspect
        ]
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda entry: self.order(
                entry,
                shares=self.shares,
                ageing=self.ageing,
                work=work(entry.request),
                now=now,
            ),
        )
        if self.order.compares_goals:
            best = self._with_floor(best, candidates, work, now)
        self._ready[_flow_key(best)].remove(best)
        return self.remove(best.request.ticket_id)

    def shed(self, now, *, work):
        """Remove the ready requests that can't begin before their callers give up.

        Load pattern: a burst leaves more waiting than the engine can begin. What would
        be refused seconds later is refused now, so that it can be served elsewhere.
        Orders that don't compare goals shed nothing.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        work : callable
            Takes a `TicketRequest` and returns its seconds of prefill.

        Returns
        -------
        list of QueueEntry
            Those that cost callers least are last in the order, so they go first.
        """
        if not self.order.compares_goals or not self._ready:
            return []
        waiting = [
            (entry, work(entry.request))
            for key in list(self._ready)
            for entry in self._candidates(key)
        ]
        waiting.sort(
            key=lambda each: self.order(
                each[0], shares=self.shares, ageing=self.ageing, work=each[1], now=now
            )
        )
        begins_at, removed = now, []
        for entry, seconds in waiting:
            if begins_at + seconds > entry.request.give_up_at:
                removed.append(self.remove(entry.request.ticket_id))
            else:
                begins_at += seconds
        return removed

    def _with_floor(self, best, candidates, work, now):
        """Return the request to serve, so that less urgent ones get their floor."""
        overtaken = [
            entry
            for entry in candidates
            if entry.request.urgency < best.request.urgency
            and begins_in_time(entry.request, work=work(entry.request), now=now)
        ]
        # The urgency that has had least, and its oldest request.
        chosen = min(
            overtaken,
            key=lambda entry: (
                self.floor_spent.get(entry.request.urgency, 0.0),
                entry.sequence,
            ),
            default=None,
        )
        if chosen is not None and work(chosen.request) <= self.floor_credit:
            seconds = work(chosen.request)
            self.floor_credit -= seconds
            spent = self.floor_spent.get(chosen.request.urgency, 0.0)
            self.floor_spent[chosen.request.urgency] = spent + seconds
            return chosen
        credit = self.floor_credit + FLOOR_FRACTION * work(best.request)
        self.floor_credit = min(MAX_FLOOR_CREDIT_S, credit)
        return best

    def _candidates(self, key):
        """Return the requests of a flow that may be next."""
        head = self._head(self._ready, key)
        if head is None:
            return ()
        if not self.order.compares_goals:
            return (head,)
        return [each for each in self._ready[key] if self._is_waiting(each)]

    def set_ready(self, lora_name, *, ready):
        """Move the requests of an adapter between ready and blocked.

        Parameters
        ----------
        lora_name : str
            The adapter.
        ready : bool
            Whether the adapter is usable now.
        """
        if ready:
            for entry in self._blocked.pop(lora_name, {}).values():
                self._insert(entry, ready=True)
            return
        for key in list(self._ready):
            kept = deque()
            for entry in self._ready[key]:
                if entry.request.lora_name != lora_name:
                    kept.append(entry)
                elif self._is_waiting(entry):
                    self._insert(entry, ready=False)
            self._ready[key] = kept

    def rename(self, lora_name, current, *, ready):
        """Let the requests of an adapter wait for another version of it.

        Parameters
        ----------
        lora_name : str
            The adapter that they wait for.
        current : str
            The adapter that they wait for from now on.
        ready : bool
            Whether that one is usable now.
        """
        self.set_ready(lora_name, ready=False)
        for entry in self._blocked.pop(lora_name, {}).values():
            renamed = entry._replace(request=entry.request._replace(lora_name=current))
            self.entries[entry.request.ticket_id] = renamed
            self._insert(renamed, ready=ready)

    def expire(self, now):
        """Remove the requests whose deadline has passed.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of QueueEntry
        """
        due = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket_id = heapq.heappop(self._deadlines)
            entry = self.remove(ticket_id)
            if entry is not None:
                due.append(entry)
        return due

    def entries_for(self, lora_name):
        """Return the waiting requests of one adapter.

        Parameters
        ----------
        lora_name : str
            The adapter.

        Returns
        -------
        list of QueueEntry
        """
        return [e for e in self.entries.values() if e.request.lora_name == lora_name]

    def is_blocked(self, lora_name):
        """Return whether requests wait for an adapter that is not usable.

        Parameters
        ----------
        lora_name : str
            The adapter.

        Returns
        -------
        bool
        """
        return lora_name in self._blocked

    def blocked_adapters(self, now):
        """Return the adapters that have to become usable for waiting requests.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of AdapterWaiters
        """
        found = []
        for lora_name, entries in self._blocked.items():
            urgency = max(
                effective_urgency(entry, ageing=self.ageing, now=now)
                for entry in entries.values()
            )
            oldest = min(entries.values(), key=lambda entry: entry.sequence)
            found.append(AdapterWaiters(lora_name, len(entries), urgency, oldest))
        return found

    def ready_adapters(self):
        """Return the adapters of requests that wait only for a place in the batch.

        Returns
        -------
        set of str
        """
        return {
            entry.request.lora_name
            for entry in self.entries.values()
            if entry.request.lora_name not in self._blocked
        }

    def count_at_least(self, urgency):
        """Count the waiting requests of at least the given urgency.

        Parameters
        ----------
        urgency : int
            Lowest urgency counted.

        Returns
        -------
        int
        """
        return sum(e.request.urgency >= urgency for e in self.entries.values())

    def _insert(self, entry, *, ready):
        if not ready:
            blocked = self._blocked.setdefault(entry.request.lora_name, {})
            blocked[entry.request.ticket_id] = entry
            return
        flow = self._ready.setdefault(_flow_key(entry), deque())
        if flow and flow[-1].sequence > entry.sequence:
            merged = sorted([*flow, entry], key=lambda each: each.sequence)
            self._ready[_flow_key(entry)] = deque(merged)
        else:
            flow.append(entry)

    def _unblock(self, entry):
        blocked = self._blocked.get(entry.request.lora_name, {})
        blocked.pop(entry.request.ticket_id, None)
        if not blocked:
            self._blocked.pop(entry.request.lora_name, None)

    def _is_waiting(self, entry):
        return self.entries.get(entry.request.ticket_id) is entry

    def _head(self, flows, key):
        flow = flows[key]
        while flow and not self._is_waiting(flow[0]):
            flow.popleft()
        if not flow:
            del flows[key]
            return None
        return flow[0]

    def _choose_displaced(self, entry):
        weights = {e.request.team: e.request.weight for e in self.entries.values()}
        weights[entry.request.team] = entry.request.weight
        held = dict(self.team_counts)
        held[entry.request.team] = held.get(entry.request.team, 0) + 1
        largest = max(held, key=lambda team: (held[team] / weights[team], team))
        if largest == entry.request.team:
            return entry
        of_largest = [e for e in self.entries.values() if e.request.team == largest]
        return min(of_largest, key=lambda e: (e.request.urgency, -e.sequence))


def _flow_key(entry):
    request = entry.request
    return (request.team, request.urgency, request.suspect)
