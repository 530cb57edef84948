"""Which targets to leave alone, judged by how they answer.

Load pattern: some targets fail part of their requests, hang or refuse
connections while their own health check is good; or all of a pool do.
"""

import math
from typing import NamedTuple

__all__ = ["HealthPolicy", "TargetHealth"]


class HealthPolicy(NamedTuple):
    """Numbers of the judgement.

    Attributes
    ----------
    memory : float
        Seconds in which what was seen decays to a third.
    pause : float
        Seconds for which a target is left alone after it could not be reached.
    pause_most : float
        Longest such pause; it doubles with each failure in a row.
    least_seen : float
        Answers, decayed, below which a ratio says nothing.
    worse_by : float
        A target whose failed part is larger than that of its pool by this much
        is left alone.
    most_avoided : float
        Largest part of a pool that is left alone for failures; behind a cut
        all but one may be out of reach.
    """

    memory: float = 4.0
    pause: float = 0.5
    pause_most: float = 4.0
    least_seen: float = 3.0
    worse_by: float = 0.2
    most_avoided: float = 0.5


class _Record:
    __slots__ = ("at", "bad", "paused_until", "row", "seen")

    def __init__(self, now):
        self.at = now
        self.seen = 0.0
        self.bad = 0.0
        self.row = 0
        self.paused_until = now


class TargetHealth:
    """What this instance has seen of the targets.

    Parameters
    ----------
    policy : HealthPolicy
        Numbers.
    """

    def __init__(self, *, policy=None):
        self.policy = policy or HealthPolicy()
        self.records = {}

    def answered(self, target, now, *, failed):
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
        record.seen += 1.0
        record.bad += failed
        if not failed:
            record.row = 0
            record.paused_until = now

    def unreachable(self, target, now):
        """Note that no connection was had, or that one broke.

        Parameters
        ----------
        target : str
            Run of the target.
        now : float
            The present time, in seconds.
        """
        record = self._record(target, now)
        record.seen += 1.0
        record.bad += 1.0
        pause = self.policy.pause * 2.0**record.row
        record.row = min(record.row + 1, 8)
        record.paused_until = now + min(self.policy.pause_most, pause)

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
        seen = sum(record.seen for record in records.values())
        usual = sum(r.bad for r in records.values()) / seen if seen else 0.0
        paused, failing = {}, {}
        for name, record in records.items():
            if now < record.paused_until:
                paused[name] = record.row
            elif record.seen >= self.policy.least_seen:
                ratio = record.bad / record.seen
                if ratio > usual + self.policy.worse_by:
                    failing[name] = ratio
        most = int(len(targets) * self.policy.most_avoided)
        avoided = sorted(failing, key=lambda name: -failing[name])[:most]
        avoided = sorted(paused, key=lambda name: -paused[name]) + avoided
        return frozenset(avoided[: max(0, len(targets) - 1)])

    def forget(self, targets):
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
        elapsed = now - record.at
        if elapsed > 0.0:
            kept = math.exp(-elapsed / self.policy.memory)
            record.seen *= kept
            record.bad *= kept
            record.at = now
        return record
