"""Restates items before their records expire from the log."""

import math
from typing import NamedTuple

from skylarkpost.config.kinds import item_body
from skylarkpost.rendezvous import choose_member

__all__ = ["Restater", "choose_restater"]

PASS_FRACTION = 0.05
MIN_STEP_ITEMS = 50
MAX_STEP_ITEMS = 400
ITEMS_PER_RECORD = 50
MIN_SCAN = 200


class Pace(NamedTuple):
    """When and how fast an instance restates items.

    Attributes
    ----------
    age : float
        Age at which an item is restated, as a fraction of the retention.
    duration : float
        Time to restate all items, as a fraction of the retention.
    """

    age: float
    duration: float


RESTATER_KEY = "restater"
CHOSEN_PACE = Pace(age=0.4, duration=0.4)
OVERDUE_PACE = Pace(age=0.85, duration=0.1)


def choose_restater(members):
    """Return the instance that is responsible for restating.

    Parameters
    ----------
    members : iterable of str
        Ids of the reachable instances, this one included.

    Returns
    -------
    str
        The member with the highest hash. Instances with different views may both
        restate, which is harmless.
    """
    return choose_member(RESTATER_KEY, members)


class Restater:
    """Finds the items that are due for restatement, a few at a time.

    Parameters
    ----------
    writer : str
        Id of this instance.
    retention : float
        Seconds that the log keeps records.

    Notes
    -----
    A restatement gives an item's state after all records before the offset
    `as_of`. It serves readers that start at `as_of` or before, so the age of
    `as_of` counts, not that of the restatement. A late restatement therefore never
    hides a newer change.

    Tombstones are restated while the log keeps any other record of the item, and
    then removed.
    """

    def __init__(self, *, writer, retention):
        self.writer = writer
        self.retention = retention
        self._pending = []
        self._pass_size = 0

    def step(self, store, *, first_offset, log_time, chosen, interval):
        """Return the records to append now.

        Parameters
        ----------
        store : ConfigStore
            A complete store that is read to the end of the log.
        first_offset : int
            Oldest offset that the log keeps.
        log_time : float
            Current time of the log's wall clock, in seconds.
        chosen : bool
            Whether this instance is responsible. Otherwise it restates only
            overdue items.
        interval : float
            Seconds between two steps.

        Returns
        -------
        list of RestatementRecord
            With at most `MAX_STEP_ITEMS` items.
        """
        pace = CHOSEN_PACE if chosen else OVERDUE_PACE
        store.times.drop_before(log_time - self.retention)
        cutoff = store.times.offset_at(log_time - pace.age * self.retention)
        cutoff = max(cutoff, first_offset)
        limit = self._step_limit(store, interval, pace)
        items = []
        for kind, name in self._next_names(store, interval):
            if name not in store.tables[kind]:
                continue
            item = self._restate_if_due(store, kind, name, cutoff, first_offset)
            if item is not None:
                items.append(item)
            if len(items) >= limit:
                break
        return [
            {
                "type": "restatement",
                "as_of": store.applied_offset + 1,
                "items": items[start : start + ITEMS_PER_RECORD],
                "writer": self.writer,
            }
            for start in range(0, len(items), ITEMS_PER_RECORD)
        ]

    def _step_limit(self, store, interval, pace):
        total = sum(len(table) for table in store.tables.values())
        needed = total * interval / (pace.duration * self.retention)
        return min(max(MIN_STEP_ITEMS, math.ceil(needed)), MAX_STEP_ITEMS)

    def _next_names(self, store, interval):
        if not self._pending:
            self._pending = [
                (kind, name)
                for kind, table in store.tables.items()
                for name in table.names()
            ]
            self._pass_size = len(self._pending)
        share = interval / max(interval, PASS_FRACTION * self.retention)
        for _ in range(max(MIN_SCAN, int(share * self._pass_size))):
            if not self._pending:
                return
            yield self._pending.pop()

    def _restate_if_due(self, store, kind, name, cutoff, first_offset):
        table = store.tables[kind]
        version, stated, mentioned = table.header(name)
        if mentioned < first_offset and table.get(name).item is None:
            store.remove_tombstone(kind, name)
            return None
        if stated >= cutoff:
            return None
        item = table.get(name).item
        body = None if item is None else item_body(kind, item, with_defaults=False)
        return {"kind": kind, "name": name, "version": version, "body": body}
