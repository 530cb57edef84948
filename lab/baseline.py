"""Baseline system for comparison with the policies.

Each instance has an equal static share of every team's rate and burst, and
sends a request to the target with the least known load. A target serves in
order of arrival, loads adapters on demand and evicts the least recently used
adapter that is not in use.
"""

import collections

from lab.buckets import TokenBucket
from lab.deployments import SLOTS
from lab.replay import System
from lab.systems import register_system

__all__ = ["Baseline"]


@register_system("baseline")
class Baseline(System):
    """System with least-loaded routing, LRU eviction, FIFO queues, static limits."""

    def __init__(self, *, replay):
        super().__init__(replay=replay)
        deployment = replay.deployment
        count = len(deployment.instances)
        self.buckets = {
            (instance.name, team.name): TokenBucket(
                rate=team.rate / count, burst=team.burst / count
            )
            for instance in deployment.instances
            for team in deployment.teams
        }
        self.queues = {
            target.name: _TargetQueue(replay=replay, target=target)
            for target in deployment.targets
        }
        self.reported_load = dict.fromkeys(self.queues, 0)
        self.sent_since_report = collections.Counter()
        self.charges = {}

    def arrive(self, job):
        """Charge the instance's share of the team's rate and place the request."""
        bucket = self.buckets[job.instance.name, job.request.team]
        now = self.replay.now
        if bucket.level_at(now) < job.cost:
            self.replay.refuse(job, "over-rate")
            return
        self.charges[job] = bucket.charge(job.cost, now=now)
        self.replay.admitted(job)
        self._place(job)

    def _place(self, job):
        local_data_centre = job.instance.data_centre
        reachable = [
            target
            for target in self.replay.deployment.targets
            if self.replay.reachable(local_data_centre, target.data_centre)
        ]
        name = job.instance.name
        best = min(
            reachable,
            key=lambda target: (
                self.reported_load[target.name]
                + self.sent_since_report[name, target.name]
            ),
        )
        self.sent_since_report[name, best.name] += 1
        job.target = best.name
        self.queues[best.name].add(job)

    def rejected(self, job, target):
        """Queue the request again."""
        self.queues[target].add(job)

    def retry(self, job, target):
        """Place the request again."""
        self._place(job)

    def finished(self, job, target):
        """Refund unused tokens and start loads that have become possible."""
        self._settle(job, job.request.max_tokens - job.request.output_tokens)
        self.queues[target].start_loads()

    def _settle(self, job, unused):
        charge = self.charges.pop(job, None)
        if charge is not None:
            bucket = self.buckets[job.instance.name, job.request.team]
            bucket.settle(charge, unused=unused)

    def expired(self, job):
        """Drop the request from its queue."""
        self._settle(job, job.cost)
        if job.target is not None:
            self.queues[job.target].remove(job)

    def receive_report(self, target, report):
        """Update the known load of a target."""
        self.reported_load[target] = (
            report.running + report.waiting + self.queues[target].length()
        )
        for instance in self.replay.deployment.instances:
            self.sent_since_report[instance.name, target] = 0
        self.queues[target].note_boot(report.boot)

    def instance_lost(self, instance):
        """Drop the queued requests of a failed instance."""
        for queue in self.queues.values():
            queue.remove_instance(instance)

    def instance_started(self, instance):
        """Start the replacement with empty buckets."""
        for team in self.replay.deployment.teams:
            self.buckets[instance.name, team.name].empty(self.replay.now)


class _TargetQueue:
    """Queue of one target: FIFO, loads on demand, LRU eviction."""

    def __init__(self, *, replay, target):
        self.replay = replay
        self.target = target
        self.engine = replay.engines[target.name]
        self.boot = self.engine.boot
        self.waiters = collections.OrderedDict()
        self.recently_used = collections.OrderedDict()
        self.loading = set()

    def length(self):
        return sum(len(jobs) for jobs in self.waiters.values())

    def add(self, job):
        adapter = job.request.adapter
        if adapter in self.engine.resident and adapter not in self.waiters:
            self._run(job)
            return
        self.waiters.setdefault(adapter, []).append(job)
        self.start_loads()

    def _run(self, job):
        adapter = job.request.adapter
        self.recently_used[adapter] = True
        self.recently_used.move_to_end(adapter)
        self.replay.dispatch(job, self.target.name)

    def remove(self, job):
        jobs = self.waiters.get(job.request.adapter, [])
        if job in jobs:
            jobs.remove(job)
            self._drop_if_empty(job.request.adapter)

    def remove_instance(self, instance):
        for adapter, jobs in list(self.waiters.items()):
            jobs[:] = [job for job in jobs if job.instance is not instance]
            self._drop_if_empty(adapter)

    def _drop_if_empty(self, adapter):
        if not self.waiters.get(adapter):
            self.waiters.pop(adapter, None)

    def note_boot(self, boot):
        if boot != self.boot:
            self.boot = boot
            self.recently_used.clear()
            self.loading.clear()
        self.start_loads()

    def start_loads(self):
        """Start loads in order of arrival while slots can be freed."""
        for adapter in list(self.waiters):
            if adapter in self.loading:
                continue
            if adapter in self.engine.resident:
                self._run_waiting(adapter)
            elif self._make_room():
                self._load(adapter)
            else:
                return

    def _run_waiting(self, adapter):
        for job in self.waiters.pop(adapter):
            self._run(job)

    def _make_room(self):
        resident = self.engine.resident
        if len(resident) + len(self.loading) < SLOTS:
            return True
        for adapter in self.recently_used:
            if resident.get(adapter, 1) == 0 and not self._in_flight(adapter):
                self.engine.unload(adapter)
                del self.recently_used[adapter]
                return True
        return False

    def _in_flight(self, adapter):
        """Return whether a request for the adapter was sent but not yet received."""
        return self.replay.in_flight[self.target.name, adapter] > 0

    def _load(self, adapter):
        self.loading.add(adapter)
        boot = self.engine.boot

        def done(loaded):
            if boot != self.engine.boot:
                return
            self.loading.discard(adapter)
            if loaded and adapter in self.waiters:
                self._run_waiting(adapter)
            elif loaded:
                self.recently_used[adapter] = True
            self.start_loads()

        local_data_centre = self.target.data_centre
        self.replay.load(local_data_centre, self.target.name, adapter, done)
