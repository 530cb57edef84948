"""Attributes crashes of targets to the requests that ran on them."""

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
        Boot id of the run that ended in the crash.
    """

    target: str
    boot: str


class CrashReport(NamedTuple):
    """Report of one instance about one crash.

    Attributes
    ----------
    crash : Crash
        The crash.
    fingerprints : tuple of str
        Fingerprints of the requests of that instance that ran on the target.
    cleared : tuple of str
        Fingerprints of requests that another target has answered since.
    age : float
        Seconds since the crash was detected.
    """

    crash: Crash
    fingerprints: tuple[str, ...]
    cleared: tuple[str, ...]
    age: float


@dataclass(frozen=True, kw_only=True)
class Clear:
    """No crash is attributed to the request."""


@dataclass(frozen=True, kw_only=True)
class Suspected:
    """One crash is attributed: this request or a concurrent one caused it."""

    crash: Crash


@dataclass(frozen=True, kw_only=True)
class Quarantined:
    """The request must not run on any target.

    Parameters
    ----------
    seconds_left : float
        Seconds until the request may be tried again.
    """

    seconds_left: float


class _Record:
    """Crashes of one fingerprint. Times are seconds of the instance's clock."""

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
        Seconds for which a crash stays attributed to a request.
    quarantine_life : float
        Seconds for which a request is quarantined.
    limit : int
        Maximum number of fingerprints. The one that expires first is evicted;
        quarantined ones are evicted last.

    Notes
    -----
    Reports may be late, duplicated and reordered: a crash counts once per
    request, and a request that was cleared of a crash stays cleared of it.
    """

    def __init__(self, *, suspect_life, quarantine_life, limit):
        self.suspect_life = suspect_life
        self.quarantine_life = quarantine_life
        self.limit = limit
        self.records = collections.OrderedDict()

    def add_report(self, report, *, now):
        """Apply a crash report of this instance or a peer.

        Parameters
        ----------
        report : CrashReport
            The report.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of str
            Fingerprints that this report has put into quarantine.
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
        """Quarantine a request, as recorded in the log or published by a peer.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        seconds : float
            Remaining time of the quarantine.
        now : float
            The present time, in seconds.
        """
        record = self._record(fingerprint)
        until = now + min(seconds, self.quarantine_life)
        record.quarantined_until = max(record.quarantined_until or until, until)
        record.expires_at = max(record.expires_at, record.quarantined_until)
        self._evict_excess()

    def note_answered(self, fingerprint, *, now):
        """Clear a suspect that a target has answered completely.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of Crash
            Crashes that are no longer attributed to it.
        """
        record = self.records.get(fingerprint)
        if record is None or record.quarantined_until is not None:
            return []
        cleared = sorted(record.crashes)
        for crash in cleared:
            self._clear(fingerprint, crash, now)
        return cleared

    def verdict(self, fingerprint, *, now):
        """Return the verdict on a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
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
        evicted = min(self.records, key=self._eviction_key)
        del self.records[evicted]

    def _eviction_key(self, fingerprint):
        record = self.records[fingerprint]
        return (record.quarantined_until is not None, record.expires_at)
