"""Writes items again before the log forgets them."""

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
    """When and how fast an instance restates.

    Attributes
    ----------
    age : float
        Age of a statement from which it restates, over the retention.
    duration : float
        Time that it takes for all items, over the retention.
    """

    age: float
    duration: float


RESTATER_KEY = "restater"
CHOSEN_PACE = Pace(age=0.4, duration=0.4)
OVERDUE_PACE = Pace(age=0.85, duration=0.1)


def choose_restater(members):
    """Return the instance whose turn it is to restate.

    Parameters
    ----------
    members : iterable of str
        Ids of the instances that can be reached, this one included.

    Returns
    -------
    str
        The member with the highest hash. Two instances that see different
        members may both restate, which does no harm.
    """
    return choose_member(RESTATER_KEY, members)


class Restater:
    """Finds the items that have to be restated, a few at a time.

    Parameters
    ----------
    writer : str
        Id of this instance.
    retention : float
        Seconds that the log keeps records.

    Notes
    -----
    A statement says how an item was after all records before the offset
    `as_of`. It serves readers that start at `as_of` or before, so what counts
    is the age of `as_of`, not that of the restatement itself. A late
    restatement therefore never hides a newer change.

    Tombstones are restated for as long as the log keeps any other record of
    the item, and then forgotten.
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
            Complete, and read to the end of the log.
        first_offset : int
            Oldest offset that the log keeps.
        log_time : float
            The present time by the log's wall clock, in seconds.
        chosen : bool
            Whether it is this instance's turn. Otherwise it writes only what
            is overdue.
        interval : float
            Seconds between two steps.

        Returns
        -------
        list of RestatementRecord
            With at most `MAX_STEP_ITEMS` items.
        """
        pace = CHOSEN_PACE if chosen else OVERDUE_PACE
        store.times.forget_before(log_time - self.retention)
        old = store.times.offset_at(log_time - pace.age * self.retention)
        old = max(old, first_offset)
        limit = self._step_limit(store, interval, pace)
        items = []
        for kind, name in self._next_names(store, interval):
            if name not in store.tables[kind]:
                continue
            item = self._judge(store, kind, name, old, first_offset)
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

    def _judge(self, store, kind, name, old, first_offset):
        table = store.tables[kind]
        version, stated, mentioned = table.header(name)
        if mentioned < first_offset and table.get(name).item is None:
            store.forget_tombstone(kind, name)
            return None
        if stated >= old:
            return None
        item = table.get(name).item
        body = None if item is None else item_body(kind, item, with_defaults=False)
        return {"kind": kind, "name": name, "version": version, "body": body}
