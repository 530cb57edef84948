"""Configuration store: the state built from the records of the log."""

from skylarkpost.config.catalogue import ItemCatalogue
from skylarkpost.config.change_ids import ChangeIds
from skylarkpost.config.offset_times import OffsetTimes
from skylarkpost.config.records import RecordError, parse_change, parse_restatement
from skylarkpost.config.verdicts import (
    Accepted,
    Conflict,
    Duplicate,
    Held,
    Invalid,
    Restated,
    Stale,
)

__all__ = ["ConfigStore"]


class ConfigStore(ItemCatalogue):
    """Applies the records of the ``config`` stream, in the order of the log.

    The verdict on a record depends only on earlier records, so all instances
    agree. The version of an item is one more than the offset of the change that
    made it.

    A reader that starts after the first record of the stream does not know the
    earlier state. It holds back all changes, and adopts each item from the newest
    restatement whose `as_of` is not before its first offset. At the end of the
    stream it applies the held changes that follow each item's restatement.

    Parameters
    ----------
    first_offset : int
        Offset of the first record that will be applied. With 0 no history is
        missing, and changes are evaluated at once.

    Attributes
    ----------
    applied_offset : int
        Offset of the last applied record; never decreases.
    floor : int
        Restatements as of an offset below this one are not adopted.
    times : OffsetTimes
        Approximate write times of offsets.
    """

    def __init__(self, *, first_offset=0):
        super().__init__()
        self.applied_offset = first_offset - 1
        self.floor = first_offset
        self.change_ids = ChangeIds()
        self.times = OffsetTimes()
        self.held = None if first_offset == 0 else {}
        self._mentions = {}
        self._appliers = {
            "change": self._apply_change,
            "restatement": self._apply_restatement,
        }

    @property
    def complete(self):
        """Whether the history has been read to its end once."""
        return self.held is None

    def apply(self, *, record, offset, time, now):
        """Apply one record.

        Parameters
        ----------
        record : dict
            As read from the log.
        offset : int
            Its offset.
        time : float
            Wall-clock time of the record by the log, in seconds.
        now : float
            Current time, in seconds of the instance's clock; passed to
            subscribers.

        Returns
        -------
        Verdict
            `Stale` if a record with this offset was already applied.
        """
        if offset <= self.applied_offset:
            return Stale()
        self.applied_offset = offset
        self.times.note(time=time, offset=offset)
        record_type = record.get("type")
        known = isinstance(record_type, str) and record_type in self._appliers
        applier = self._appliers[record_type] if known else None
        if applier is None:
            return Invalid(problem="unknown type of record")
        try:
            return applier(record, offset, time, now)
        except RecordError as fault:
            return Invalid(problem=str(fault))

    def finish_history(self, *, time, now):
        """Evaluate the held changes, once the stream has been read to its end.

        Parameters
        ----------
        time : float
            Log time of the last record, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        dict of int to Verdict
            Verdict on each held change by its offset; `Held` where the records
            that decide it have expired.
        """
        assert self.held is not None, "the history is already finished"
        held, self.held = self.held, None
        verdicts = {}
        for changes in held.values():
            for offset, change_time, change in changes:
                verdict = self._evaluate_held(change, offset, change_time, now)
                verdicts[offset] = verdict
        self._mentions = {}
        self.change_ids.prune(time=time)
        return verdicts

    def replace_with(self, other, *, now):
        """Replace the state by that of another store, and notify of differences.

        Parameters
        ----------
        other : ConfigStore
            Complete and applied at least as far; must not be used afterwards.
        now : float
            Current time, in seconds; passed to subscribers.
        """
        assert other.complete, "only a complete store may be served"
        assert other.applied_offset >= self.applied_offset, "applied offset decreased"
        tables, self.tables = self.tables, other.tables
        self.applied_offset = other.applied_offset
        self.floor = other.floor
        self.change_ids = other.change_ids
        self.times = other.times
        self.held = None
        for kind, before in tables.items():
            self._notify_differences(kind, before, now)

    def remove_tombstone(self, kind, name):
        """Remove the tombstone of an item that no other kept record mentions.

        Parameters
        ----------
        kind, name : str
            The item.
        """
        table = self.tables[kind]
        entry = table.get(name)
        assert entry.item is None, "only a tombstone may be removed"
        self.floor = max(self.floor, entry.version)
        table.remove(name)

    def _apply_change(self, record, offset, time, now):
        change = parse_change(record)
        lateness = time - change["made_at"]
        if abs(lateness) > change["valid_for"]:
            problem = f"made {lateness:.1f} s before the log took it"
            return Invalid(problem=f"{problem}; valid for {change['valid_for']:g} s")
        if self.held is not None:
            key = (change["kind"], change["name"])
            self.held.setdefault(key, []).append((offset, time, change))
            return Held()
        return self._evaluate(change, offset, time, now)

    def _evaluate(self, change, offset, time, now):
        table = self.tables[change["kind"]]
        entry = table.get(change["name"])
        if entry is not None:
            table.raise_offsets(change["name"], stated=0, mentioned=offset)
        known, first = self.change_ids.find(change)
        if known:
            return Duplicate(first=first)
        verdict = self._accept_or_refuse(change, entry, offset, now)
        self.change_ids.add(change, verdict, time=time)
        return verdict

    def _accept_or_refuse(self, change, entry, offset, now):
        present = 0 if entry is None or entry.item is None else entry.version
        expected = change["expected_version"]
        if expected is not None and expected != present:
            return Conflict(expected_version=expected, present_version=present)
        version = offset + 1
        # Changes do not renew `stated`: a later reader needs a restatement.
        stated = offset if entry is None else entry.stated
        kind, name = change["kind"], change["name"]
        self._put(kind, name, version, stated, offset, change["body"], now)
        return Accepted(version=version, previous_version=present)

    def _apply_restatement(self, record, offset, time, now):
        restatement = parse_restatement(record)
        counts = {"confirmed": 0, "adopted": 0, "stale": 0}
        for stated in restatement["items"]:
            counts[self._apply_stated(stated, restatement["as_of"], offset, now)] += 1
        return Restated(**counts)

    def _apply_stated(self, stated, as_of, offset, now):
        kind, name = stated["kind"], stated["name"]
        table = self.tables[kind]
        entry = table.get(name)
        mentioned = offset if stated["body"] is not None else 0
        if entry is None:
            mentioned = max(mentioned, self._mentions.get((kind, name), 0))
            self._note_mention(kind, name, mentioned)
        else:
            table.raise_offsets(name, stated=0, mentioned=mentioned)
        known = 0 if entry is None else entry.version
        version = stated["version"]
        if as_of < self.floor or version < known:
            return "stale"
        if version == known:
            table.raise_offsets(name, stated=as_of, mentioned=0)
            return "confirmed"
        self._put(kind, name, version, as_of, mentioned, stated["body"], now)
        return "adopted"

    def _note_mention(self, kind, name, mentioned):
        if self.held is not None and mentioned:
            self._mentions[(kind, name)] = mentioned

    def _evaluate_held(self, change, offset, time, now):
        table = self.tables[change["kind"]]
        entry = table.get(change["name"])
        if entry is None or offset >= entry.stated:
            return self._evaluate(change, offset, time, now)
        table.raise_offsets(change["name"], stated=0, mentioned=offset)
        if entry.version != offset + 1:
            self.change_ids.add(change, None, time=time)
            return Held()
        expected = change["expected_version"] or 0
        verdict = Accepted(version=offset + 1, previous_version=expected)
        self.change_ids.add(change, verdict, time=time)
        return verdict
