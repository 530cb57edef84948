"""Counts the crashes of targets by the requests that ran on them."""

import collections
from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "Clear",
    "Crash",
    "CrashReport",
    "Quarantined",
    "SuspectTracker",
    "Suspected",
]

CRASHES_TO_QUARANTINE = 2


class Crash(NamedTuple):
    """One crash of one target.

    Attributes
    ----------
    target : str
        Id of the target.
    boot : str
        The run of the target that ended in the crash.
    """

    target: str
    boot: str


class CrashReport(NamedTuple):
    """What one instance saw of one crash.

    Attributes
    ----------
    crash : Crash
        Which crash.
    fingerprints : tuple of str
        The requests of that instance that ran on the target.
    cleared : tuple of str
        Requests that have since been answered by another target.
    age : float
        Seconds since the crash was seen.
    """

    crash: Crash
    fingerprints: tuple[str, ...]
    cleared: tuple[str, ...]
    age: float


@dataclass(frozen=True, kw_only=True)
class Clear:
    """No crash is known for the request."""


@dataclass(frozen=True, kw_only=True)
class Suspected:
    """One crash is known: the request or one beside it caused it."""

    crash: Crash


@dataclass(frozen=True, kw_only=True)
class Quarantined:
    """The request is kept from all targets.

    Parameters
    ----------
    seconds_left : float
        Until it may be tried again.
    """

    seconds_left: float


class _Record:
    """Crashes of one fingerprint. Times are in seconds of the instance's clock."""

    __slots__ = ("cleared", "crashes", "expires_at", "quarantined_until")

    def __init__(self):
        self.crashes = set()
        self.cleared = set()
        self.expires_at = 0.0
        self.quarantined_until = None


class SuspectTracker:
    """Decides which requests are suspects and which are quarantined.

    Parameters
    ----------
    suspect_life : float
        Seconds for which a crash is held against a request.
    quarantine_life : float
        Seconds for which a request is quarantined.
    limit : int
        Fingerprints kept at most; the one that expires first makes room, a
        quarantined one last.

    Notes
    -----
    Reports may arrive late, twice and in any order: a crash counts once for
    each request, and a request that was cleared of a crash stays cleared of it.
    """

    def __init__(self, *, suspect_life, quarantine_life, limit):
        self.suspect_life = suspect_life
        self.quarantine_life = quarantine_life
        self.limit = limit
        self.records = collections.OrderedDict()

    def add_report(self, report, *, now):
        """Take in what an instance saw of a crash, this one or a peer.

        Parameters
        ----------
        report : CrashReport
            What it saw.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of str
            Fingerprints that are quarantined from now on and were not before.
        """
        self._drop_expired(now)
        for fingerprint in report.cleared:
            self._clear(fingerprint, report.crash, now)
        remaining_life = self.suspect_life - report.age
        if remaining_life <= 0.0:
            return []
        added = (
            self._add(fingerprint, report.crash, now + remaining_life, now)
            for fingerprint in report.fingerprints
        )
        return [fingerprint for fingerprint in added if fingerprint is not None]

    def quarantine(self, fingerprint, *, seconds, now):
        """Quarantine a request, as read from the platform's log.

        Parameters
        ----------
        fingerprint : str
            The request.
        seconds : float
            For how long from now.
        now : float
            The present time, in seconds.
        """
        record = self._record(fingerprint)
        until = now + min(seconds, self.quarantine_life)
        record.quarantined_until = max(record.quarantined_until or until, until)
        record.expires_at = max(record.expires_at, record.quarantined_until)
        self._evict_excess()

    def note_answered(self, fingerprint, *, now):
        """Clear a suspect: a target has answered it in full.

        Parameters
        ----------
        fingerprint : str
            The request.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Crash
            The crashes that it is cleared of.
        """
        record = self.records.get(fingerprint)
        if record is None or record.quarantined_until is not None:
            return []
        cleared = sorted(record.crashes)
        for crash in cleared:
            self._clear(fingerprint, crash, now)
        return cleared

    def verdict(self, fingerprint, *, now):
        """Judge one request.

        Parameters
        ----------
        fingerprint : str
            The request.
        now : float
            The present time, in seconds.

        Returns
        -------
        Clear or Suspected or Quarantined
        """
        record = self.records.get(fingerprint)
        if record is None or record.expires_at <= now:
            return Clear()
        until = record.quarantined_until
        if until is not None and until > now:
            return Quarantined(seconds_left=until - now)
        if record.crashes:
            return Suspected(crash=min(record.crashes))
        return Clear()

    def _add(self, fingerprint, crash, expires_at, now):
        record = self._record(fingerprint)
        if crash in record.cleared or crash in record.crashes:
            return None
        record.crashes.add(crash)
        record.expires_at = max(record.expires_at, expires_at)
        self._evict_excess()
        if len(record.crashes) < CRASHES_TO_QUARANTINE:
            return None
        if record.quarantined_until is not None:
            return None
        record.quarantined_until = now + self.quarantine_life
        record.expires_at = max(record.expires_at, record.quarantined_until)
        return fingerprint

    def _clear(self, fingerprint, crash, now):
        record = self._record(fingerprint)
        record.crashes.discard(crash)
        record.cleared.add(crash)
        record.expires_at = max(record.expires_at, now + self.suspect_life)
        self._evict_excess()

    def _record(self, fingerprint):
        if fingerprint not in self.records:
            self.records[fingerprint] = _Record()
        return self.records[fingerprint]

    def _drop_expired(self, now):
        expired = [f for f, record in self.records.items() if record.expires_at <= now]
        for fingerprint in expired:
            del self.records[fingerprint]

    def _evict_excess(self):
        if len(self.records) <= self.limit:
            return
        victim = min(self.records, key=self._eviction_key)
        del self.records[victim]

    def _eviction_key(self, fingerprint):
        record = self.records[fingerprint]
        return (record.quarantined_until is not None, record.expires_at)
