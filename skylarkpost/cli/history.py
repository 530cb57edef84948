"""History of the configuration, as far as the log retains it."""

from typing import NamedTuple

from skylarkpost.config import ConfigStore
from skylarkpost.config.verdicts import (
    Accepted,
    Conflict,
    Duplicate,
    Held,
    Invalid,
    Verdict,
)

__all__ = ["AuditEntry", "History", "describe_verdict"]


class AuditEntry(NamedTuple):
    """One change record and the verdict on it.

    Attributes
    ----------
    offset : int
        The record's offset.
    time : float
        The log's timestamp, in seconds since the Unix epoch.
    record : dict
        The change record.
    verdict : Verdict
        Verdict on the change.
    """

    offset: int
    time: float
    record: dict
    verdict: Verdict


class History:
    """Applies the ``config`` stream and records the verdict on each change.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the log retains.
    """

    def __init__(self, *, first_offset):
        self.store = ConfigStore(first_offset=first_offset)
        self.entries = {}
        self.last_time = 0.0

    @property
    def next_offset(self):
        """Offset of the next record to apply."""
        return self.store.applied_offset + 1

    def add(self, record):
        """Apply one record.

        Parameters
        ----------
        record : skylarkpost.log.LogRecord
            The record at `next_offset`.
        """
        offset, time, data = record
        verdict = self.store.apply(record=data, offset=offset, time=time, now=time)
        self.last_time = max(self.last_time, time)
        if data.get("type") == "change":
            self.entries[offset] = AuditEntry(offset, time, data, verdict)

    def finish(self):
        """Complete the history when the stream has been read to its end."""
        if self.store.complete:
            return
        now = self.last_time
        verdicts = self.store.finish_history(time=now, now=now)
        for offset, verdict in verdicts.items():
            self.entries[offset] = self.entries[offset]._replace(verdict=verdict)

    def find_verdict(self, change_id, *, from_offset):
        """Return the verdict on a change.

        Parameters
        ----------
        change_id : str
            Its id.
        from_offset : int
            First offset to search.

        Returns
        -------
        Verdict or None
            None if no valid copy of the change has been read yet.
        """
        for offset in range(from_offset, self.next_offset):
            entry = self.entries.get(offset)
            if entry is None or entry.record.get("change_id") != change_id:
                continue
            if isinstance(entry.verdict, Duplicate):
                return entry.verdict.first or entry.verdict
            return entry.verdict
        return None


def describe_verdict(verdict):
    """Return a verdict as text.

    Parameters
    ----------
    verdict : Verdict
        Verdict on a change.

    Returns
    -------
    str
        A status word.
    str
        Details.

    Examples
    --------
    >>> describe_verdict(Accepted(version=8, previous_version=3))
    ('accepted', 'version 3 -> 8')
    """
    match verdict:
        case Accepted(version=version, previous_version=previous):
            return "accepted", f"version {previous} -> {version}"
        case Conflict(expected_version=expected, present_version=present):
            return "conflict", f"expected version {expected}, found {present}"
        case Duplicate():
            return "duplicate", "a copy of a change that was judged before"
        case Invalid(problem=problem):
            return "invalid", problem
        case Held():
            return "unknown", "the records that would tell have expired"
    raise AssertionError(f"unexpected verdict on a change: {verdict}")
