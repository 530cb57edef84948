"""Fair queue of the requests that wait for one target."""

import heapq
import itertools
from collections import deque
from typing import NamedTuple

from skylarkpost.stewardship.fairness import FairShares
from skylarkpost.stewardship.messages import TicketRequest
from skylarkpost.stewardship.queue_orders import effective_urgency, queue_order

__all__ = ["AdapterWaiters", "FairQueue", "QueueEntry"]


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

    def pop(self, now, *, suspects=True):
        """Remove and return the ready request that is served next.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        suspects : bool
            Whether a request that may have crashed an engine is eligible.

        Returns
        -------
        QueueEntry or None
        """
        best, best_key = None, None
        for key in list(self._ready):
            head = self._head(self._ready, key)
            if head is None or (head.request.suspect and not suspects):
                continue
            rank = self.order(head, shares=self.shares, ageing=self.ageing, now=now)
            if best is None or rank < best_key:
                best, best_key = head, rank
        if best is None:
            return None
        self._ready[_flow_key(best)].popleft()
        return self.remove(best.request.ticket_id)

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
