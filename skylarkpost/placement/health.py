"""Which targets to leave alone, judged by how they answer.

Load pattern: some targets fail part of their requests, hang or refuse
connections while their own health check is good; or all of a pool do.
"""

import math
from typing import NamedTuple

__all__ = ["HealthPolicy", "TargetHealthTracker"]


class HealthPolicy(NamedTuple):
    """Numbers of the judgement.

    Attributes
    ----------
    decay_time : float
        Seconds in which what was seen decays to a third.
    backoff : float
        Seconds for which a target is left alone after it could not be reached.
    max_backoff : float
        Longest such backoff; it doubles with each failure in a row.
    min_samples : float
        Answers, decayed, below which a ratio says nothing.
    failure_margin : float
        A target whose failed part is larger than that of its pool by this much
        is left alone.
    max_avoided_share : float
        Largest part of a pool that is left alone for failures; behind a cut
        all but one may be out of reach.
    """

    decay_time: float = 4.0
    backoff: float = 0.5
    max_backoff: float = 4.0
    min_samples: float = 3.0
    failure_margin: float = 0.2
    max_avoided_share: float = 0.5


class _Record:
    __slots__ = (
        "consecutive_failures",
        "failures",
        "paused_until",
        "samples",
        "updated_at",
    )

    def __init__(self, now):
        self.updated_at = now
        self.samples = 0.0
        self.failures = 0.0
        self.consecutive_failures = 0
        self.paused_until = now


class TargetHealthTracker:
    """What this instance has seen of the targets.

    Parameters
    ----------
    policy : HealthPolicy
        Numbers.
    """

    def __init__(self, *, policy=None):
        self.policy = policy or HealthPolicy()
        self.records = {}

    def note_answer(self, target, now, *, failed):
        """Note an answer.

        Parameters
        ----------
        target : str
            Run of the target.
        now : float
            The present time, in seconds.
        failed : bool
            Whether it was a failure of the target.
        """
        record = self._record(target, now)
        record.samples += 1.0
        record.failures += failed
        if not failed:
            record.consecutive_failures = 0
            record.paused_until = now

    def note_unreachable(self, target, now):
        """Note that no connection was had, or that one broke.

        Parameters
        ----------
        target : str
            Run of the target.
        now : float
            The present time, in seconds.
        """
        record = self._record(target, now)
        record.samples += 1.0
        record.failures += 1.0
        backoff = self.policy.backoff * 2.0**record.consecutive_failures
        record.consecutive_failures = min(record.consecutive_failures + 1, 8)
        record.paused_until = now + min(self.policy.max_backoff, backoff)

    def avoided(self, targets, now):
        """Return the targets of a pool to leave alone.

        Parameters
        ----------
        targets : list of str
            Runs of the pool's targets.
        now : float
            The present time, in seconds.

        Returns
        -------
        frozenset of str
            Never all of them.
        """
        records = {name: self._record(name, now) for name in targets}
        samples = sum(record.samples for record in records.values())
        usual = sum(r.failures for r in records.values()) / samples if samples else 0.0
        paused, failing = {}, {}
        for name, record in records.items():
            if now < record.paused_until:
                paused[name] = record.consecutive_failures
            elif record.samples >= self.policy.min_samples:
                ratio = record.failures / record.samples
                if ratio > usual + self.policy.failure_margin:
                    failing[name] = ratio
        most = int(len(targets) * self.policy.max_avoided_share)
        avoided = sorted(failing, key=lambda name: -failing[name])[:most]
        avoided = sorted(paused, key=lambda name: -paused[name]) + avoided
        return frozenset(avoided[: max(0, len(targets) - 1)])

    def retain_only(self, targets):
        """Drop all but the given targets.

        Parameters
        ----------
        targets : set of str
            Runs of targets that are there.
        """
        for name in [name for name in self.records if name not in targets]:
            del self.records[name]

    def _record(self, target, now):
        record = self.records.setdefault(target, _Record(now))
        elapsed = now - record.updated_at
        if elapsed > 0.0:
            kept = math.exp(-elapsed / self.policy.decay_time)
            record.samples *= kept
            record.failures *= kept
            record.updated_at = now
        return record
