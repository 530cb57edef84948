"""Passive health checks: detects failing targets from the outcomes of requests.

Active health checks are not enough: a target can fail part of its requests,
hang or refuse connections while its own health check passes. This can happen
to some targets of a pool or to all of them.
"""

import math
from typing import NamedTuple

__all__ = ["HealthPolicy", "TargetHealthTracker"]


# A failure counts less than one in a hundred after this many decay times.
FORGET_AFTER_DECAYS = 5.0


class HealthPolicy(NamedTuple):
    """Parameters of the failure detection.

    Attributes
    ----------
    decay_time : float
        Seconds in which the sample counts decay to about a third (1/e).
    backoff : float
        Seconds for which a target is avoided after a connection failure.
    max_backoff : float
        Longest backoff, in seconds; it doubles with each consecutive connection
        failure.
    min_samples : float
        Decayed number of samples below which the failure ratio is ignored.
    failure_margin : float
        A target is avoided if its failure ratio exceeds that of its pool by
        more than this.
    max_avoided_share : float
        Largest share of a pool that is avoided for failed requests. It does
        not bound unreachable targets: in a network partition all but one may
        be avoided.
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
    """Failure statistics of targets, as seen by this instance.

    Parameters
    ----------
    policy : HealthPolicy
        Parameters of the failure detection.

    Attributes
    ----------
    failed_at : dict of str to float
        Latest failure of each target that failed within `memory` seconds.
    """

    def __init__(self, *, policy=None):
        self.policy = policy or HealthPolicy()
        self.records = {}
        self.failed_at = {}
        self.memory = max(
            self.policy.max_backoff, FORGET_AFTER_DECAYS * self.policy.decay_time
        )

    def note_answer(self, target, now, *, failed):
        """Record an answer.

        Parameters
        ----------
        target : str
            Boot id of the target.
        now : float
            The present time, in seconds.
        failed : bool
            Whether it was a failure of the target.
        """
        record = self._record(target, now)
        record.samples += 1.0
        record.failures += failed
        if failed:
            self.failed_at[target] = now
        if not failed:
            record.consecutive_failures = 0
            record.paused_until = now

    def note_unreachable(self, target, now):
        """Record a failed or broken connection.

        Parameters
        ----------
        target : str
            Boot id of the target.
        now : float
            The present time, in seconds.
        """
        record = self._record(target, now)
        record.samples += 1.0
        record.failures += 1.0
        self.failed_at[target] = now
        backoff = self.policy.backoff * 2.0**record.consecutive_failures
        record.consecutive_failures = min(record.consecutive_failures + 1, 8)
        record.paused_until = now + min(self.policy.max_backoff, backoff)

    def avoided(self, targets, now):
        """Return the targets of a pool that should be avoided.

        Parameters
        ----------
        targets : list of str
            Boot ids of the pool's targets.
        now : float
            The present time, in seconds.

        Returns
        -------
        frozenset of str
            Targets to avoid; never the whole pool.
        """
        if not any(self._has_failed(name, now) for name in targets):
            return frozenset()
        records = {name: self._record(name, now) for name in targets}
        samples = sum(record.samples for record in records.values())
        pool_ratio = (
            sum(r.failures for r in records.values()) / samples if samples else 0.0
        )
        paused, failing = {}, {}
        for name, record in records.items():
            if now < record.paused_until:
                paused[name] = record.consecutive_failures
            elif record.samples >= self.policy.min_samples:
                ratio = record.failures / record.samples
                if ratio > pool_ratio + self.policy.failure_margin:
                    failing[name] = ratio
        max_avoided = int(len(targets) * self.policy.max_avoided_share)
        avoided = sorted(failing, key=lambda name: -failing[name])[:max_avoided]
        avoided = sorted(paused, key=lambda name: -paused[name]) + avoided
        return frozenset(avoided[: max(0, len(targets) - 1)])

    def retain_only(self, targets):
        """Drop the records of all but the given targets.

        Parameters
        ----------
        targets : set of str
            Boot ids of targets that still exist.
        """
        for name in [name for name in self.records if name not in targets]:
            del self.records[name]
            self.failed_at.pop(name, None)

    def _has_failed(self, target, now):
        failed_at = self.failed_at.get(target)
        if failed_at is None:
            return False
        if now - failed_at < self.memory:
            return True
        del self.failed_at[target]
        return False

    def _record(self, target, now):
        record = self.records.setdefault(target, _Record(now))
        elapsed = now - record.updated_at
        if elapsed > 0.0:
            decay = math.exp(-elapsed / self.policy.decay_time)
            record.samples *= decay
            record.failures *= decay
            record.updated_at = now
        return record
