"""Discrete-event replay of one request trace against one system."""

import collections
import random
from typing import NamedTuple

from lab.buckets import TokenBucket
from lab.engine import Engine
from lab.scheduler import Scheduler
from lab.weights import WeightStore

__all__ = ["Job", "Replay", "System"]

LOCAL_LINK_S = 0.0003
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.5
DEADLINE_S = 20.0
BALANCER_LAG_S = 2.0
CALLER_RETRY_S = 1.0
DRAIN_S = 40.0
WARM_UP_S = 30.0
ACCOUNT_TOLERANCE_S = 0.01


class Job:
    """State of one request during a replay.

    Attributes
    ----------
    request : lab.traces.Request
        The recorded request.
    instance : lab.deployments.Instance or None
        Instance that received it most recently.
    target : str or None
        Engine it was dispatched to.
    stall_s : float or None
        Seconds from its arrival until its adapter was loaded on the engine that
        ran it, or until its refusal at the deadline; None if the adapter was
        loaded before.
    state : str
        ``"waiting"``, ``"admitted"``, ``"running"``, ``"answered"``,
        ``"refused"``, ``"broken"``.
    reason : str
        Reason for the refusal.
    within_rate : bool
        Whether its team was within its rate when it was refused.
    """

    __slots__ = (
        "admission",
        "charge",
        "first_token_at",
        "instance",
        "reason",
        "request",
        "stall_s",
        "state",
        "target",
        "within_rate",
    )

    def __init__(self, request):
        self.request = request
        self.instance = None
        self.target = None
        self.stall_s = None
        self.first_token_at = None
        self.state = "waiting"
        self.reason = ""
        self.within_rate = False
        self.charge = None
        self.admission = None

    @property
    def cost(self):
        """Tokens charged at admission: prompt tokens plus ``max_tokens``."""
        request = self.request
        return request.preamble_tokens + request.tail_tokens + request.max_tokens


class System:
    """Base class of the replayed systems; its methods are called by the replay.

    Parameters
    ----------
    replay : Replay
        Executes the decisions of the system.
    """

    def __init__(self, *, replay):
        self.replay = replay

    def start(self):
        """Start the system; called once, `WARM_UP_S` before the first request."""

    def arrive(self, job):
        """Handle a request that arrived at ``job.instance``."""
        raise NotImplementedError

    def rejected(self, job, target):
        """Handle the refusal of a request by an engine before it ran."""
        raise NotImplementedError

    def retry(self, job, target):
        """Place a request again after its engine restarted before the first token."""
        raise NotImplementedError

    def finished(self, job, target):
        """Handle the end of a request on a target."""

    def expired(self, job):
        """Drop a request that was not dispatched by its deadline."""

    def receive_report(self, target, report):
        """Handle a load report of a target."""

    def instance_lost(self, instance):
        """Handle the failure of an instance; its state is lost."""

    def instance_started(self, instance):
        """Handle the start of the replacement of a failed instance, without state."""

    def links_changed(self):
        """Handle a change of the reachability of data centres or the platform."""


class EngineTotals(NamedTuple):
    """Totals over all engines of one replay."""

    steps: int
    step_tokens: int
    preamble_hits: int
    preamble_tokens: int
    loads: int


class Replay:
    """Replay of one trace against one system.

    Parameters
    ----------
    deployment : lab.deployments.Deployment
        Machines and teams.
    trace : list of lab.traces.Request
        Requests sent by the callers.
    system : callable
        Called with this replay; returns a `System`.
    seed : int
        Seed of the random choices of instances and of the system.

    Attributes
    ----------
    jobs : list of Job
        All requests, in trace order.
    over_admitted : float
        Largest excess of a team over its rate and burst, in tokens. Tokens that
        accrue within `ACCOUNT_TOLERANCE_S` are not counted, because a charge
        takes a few milliseconds from the pool to the instance.
    in_flight : collections.Counter
        Requests sent but not yet received, by engine and adapter.
    isolated : set of str
        Data centres partitioned from all others.
    platform_up : bool
        Whether the platform's log is available.
    """

    def __init__(self, *, deployment, trace, system, seed):
        self.deployment = deployment
        self.trace = trace
        self.random = random.Random(f"replay-{seed}")
        self.scheduler = Scheduler(start=-WARM_UP_S)
        self.store = WeightStore(scheduler=self.scheduler)
        self.engines = {
            target.name: self._make_engine(target) for target in deployment.targets
        }
        self.live = list(deployment.instances)
        self.lost_since = {}
        self.isolated = set()
        self.platform_up = True
        self.jobs = [Job(request) for request in trace]
        self.over_admitted = 0.0
        self.in_flight = collections.Counter()
        self._loaded_at = {}
        self._entitlements = self._make_buckets()
        self._admitted = self._make_buckets()
        self.system = system(self)

    def _make_buckets(self):
        return {
            team.name: TokenBucket(rate=team.rate, burst=team.burst)
            for team in self.deployment.teams
        }

    def _make_engine(self, target):
        return Engine(
            name=target.name,
            data_centre=target.data_centre,
            scheduler=self.scheduler,
            store=self.store,
            listener=self,
        )

    @property
    def now(self):
        """Current virtual time, in seconds."""
        return self.scheduler.now

    def run(self):
        """Replay the whole trace.

        Returns
        -------
        Replay
            This object.
        """
        self.system.start()
        for job in self.jobs:
            self.scheduler.call_at(job.request.at, self._enter, job)
        for name in self.engines:
            phase = self.random.random() * REPORT_INTERVAL_S
            self.scheduler.call_later(phase, self._collect_report, name)
        self.scheduler.run(until=self.trace[-1].at + DRAIN_S)
        return self

    def totals(self):
        """Return the sums over all engines.

        Returns
        -------
        EngineTotals
        """
        engines = self.engines.values()
        return EngineTotals(
            steps=sum(engine.steps for engine in engines),
            step_tokens=sum(engine.step_tokens for engine in engines),
            preamble_hits=sum(engine.preamble_hits for engine in engines),
            preamble_tokens=sum(engine.preamble_tokens for engine in engines),
            loads=self.store.loads,
        )

    # Operations available to the system.

    def reachable(self, source, destination):
        """Return whether two data centres can reach each other.

        Parameters
        ----------
        source, destination : str
            Names of data centres.

        Returns
        -------
        bool
        """
        return source == destination or not (
            source in self.isolated or destination in self.isolated
        )

    def platform_reachable(self, data_centre):
        """Return whether a data centre can reach the platform's log."""
        return self.platform_up and data_centre not in self.isolated

    def send(self, source, destination, callback, *args):
        """Schedule a callback after the one-way delay between two data centres.

        The message is dropped if they cannot reach each other.

        Parameters
        ----------
        source, destination : str
            Names of data centres.
        callback : callable
            Called with `args`.
        """
        if self.reachable(source, destination):
            delay = LOCAL_LINK_S if source == destination else self.deployment.link_s
            self.scheduler.call_later(delay, callback, *args)

    def admitted(self, job):
        """Record that a request passed its team's limit.

        Parameters
        ----------
        job : Job
            The request.
        """
        job.state = "admitted"
        job.charge = self._entitlements[job.request.team].charge(job.cost, now=self.now)
        bucket = self._admitted[job.request.team]
        job.admission = bucket.charge(job.cost, now=self.now)
        excess = -bucket.level_at(self.now) - ACCOUNT_TOLERANCE_S * bucket.rate
        self.over_admitted = max(self.over_admitted, excess)

    def refuse(self, job, reason):
        """Refuse a request.

        Parameters
        ----------
        job : Job
            The request; it must not have been dispatched.
        reason : str
            Reason for the refusal.
        """
        assert job.state in ("waiting", "admitted")
        bucket = self._entitlements[job.request.team]
        spare = bucket.level_at(self.now) - ACCOUNT_TOLERANCE_S * bucket.rate
        affordable = spare >= job.cost
        if job.charge is None and affordable:
            # Charge a wrongful refusal, so that the same tokens do not make
            # later refusals count as wrongful too.
            bucket.settle(bucket.charge(job.cost, now=self.now), unused=0)
        job.within_rate = job.charge is not None or affordable
        job.state = "refused"
        job.reason = reason
        if reason == "deadline-passed":
            job.stall_s = self.now - job.request.at
        self._settle(job, job.cost)

    def dispatch(self, job, target, *, priority=0.0):
        """Send a request to an engine.

        Parameters
        ----------
        job : Job
            The request; it must have been admitted.
        target : str
            Name of the engine.
        priority : float
            Lower values run first.
        """
        assert job.state == "admitted", job.state
        job.state = "running"
        job.target = target
        engine = self.engines[target]
        self.in_flight[target, job.request.adapter] += 1
        self.send(
            job.instance.data_centre,
            engine.data_centre,
            self._submit,
            job,
            engine,
            priority,
        )

    def _submit(self, job, engine, priority):
        self.in_flight[engine.name, job.request.adapter] -= 1
        if job.state != "running":
            return
        if not engine.submit(job, priority=priority):
            job.state = "admitted"
            job.target = None
            self.system.rejected(job, engine.name)
            return
        loaded_at = self._loaded_at[engine.name, job.request.adapter]
        if loaded_at > job.request.at:
            job.stall_s = loaded_at - job.request.at

    def load(self, data_centre, target, adapter, callback):
        """Send an engine the command to load an adapter.

        Parameters
        ----------
        data_centre : str
            Data centre of the sender.
        target, adapter : str
            Engine and adapter.
        callback : callable
            Called in the sender's data centre with whether the adapter was loaded.
        """
        engine = self.engines[target]

        def done(loaded):
            if loaded:
                self._loaded_at[target, adapter] = self.now
            self.send(engine.data_centre, data_centre, callback, loaded)

        self.send(data_centre, engine.data_centre, engine.load, adapter, done)

    def unload(self, data_centre, target, adapter, callback):
        """Send an engine the command to unload an adapter.

        Parameters
        ----------
        data_centre : str
            Data centre of the sender.
        target, adapter : str
            Engine and adapter.
        callback : callable
            Called with whether the adapter had been loaded.
        """
        engine = self.engines[target]

        def order():
            was_loaded = engine.unload(adapter)
            self.send(engine.data_centre, data_centre, callback, was_loaded)

        self.send(data_centre, engine.data_centre, order)

    # Callbacks of the engines.

    def first_token(self, job):
        """Record the first token of a request."""
        engine = self.engines[job.target]
        local = job.instance.data_centre == engine.data_centre
        link = LOCAL_LINK_S if local else self.deployment.link_s
        job.first_token_at = self.now + link + self.deployment.caller_s

    def finished(self, job):
        """Record the end of a request and report it to the system."""
        if job.state == "running":
            job.state = "answered"
        self._settle(job, job.request.max_tokens - job.request.output_tokens)
        engine = self.engines[job.target]
        self.send(
            engine.data_centre,
            job.instance.data_centre,
            self.system.finished,
            job,
            job.target,
        )

    def aborted(self, job):
        """Handle the abort of a request by a restart of its engine."""
        target = job.target
        if job.state != "running":
            return
        if job.first_token_at is not None:
            job.state = "broken"
            self._settle(job, job.request.max_tokens - job.request.output_tokens)
        else:
            job.state = "admitted"
            job.target = None
        engine = self.engines[target]
        self.send(
            engine.data_centre, job.instance.data_centre, self._abort_seen, job, target
        )

    def _abort_seen(self, job, target):
        if job.state == "broken":
            self.system.finished(job, target)
        elif job.state == "admitted":
            self.system.retry(job, target)

    def _settle(self, job, unused):
        if job.charge is not None:
            self._entitlements[job.request.team].settle(job.charge, unused=unused)
            self._admitted[job.request.team].settle(job.admission, unused=unused)
            job.charge = None

    # Callers and fault injection.

    def _enter(self, job):
        instance = self._choose_instance(job.request.data_centre)
        if instance not in self.live:
            self.scheduler.call_later(CALLER_RETRY_S, self._enter, job)
            return
        job.instance = instance
        self.scheduler.call_later(self.deployment.caller_s, self._arrive, job)

    def _choose_instance(self, data_centre):
        """Return the instance chosen by the load balancer; it may have failed.

        The balancer removes a failed instance after `BALANCER_LAG_S`.
        """
        known = [
            instance
            for instance in self.deployment.instances
            if self.now - self.lost_since.get(instance, self.now) <= BALANCER_LAG_S
        ]
        local_instances = [i for i in known if i.data_centre == data_centre]
        return self.random.choice(local_instances or known)

    def _arrive(self, job):
        if job.instance not in self.live:
            self._enter(job)
            return
        self.scheduler.call_at(job.request.at + DEADLINE_S, self._deadline, job)
        self.system.arrive(job)

    def _deadline(self, job):
        if job.state in ("waiting", "admitted"):
            self.refuse(job, "deadline-passed")
            self.system.expired(job)

    def _collect_report(self, name):
        report = self.engines[name].report()
        self.scheduler.call_later(REPORT_LAG_S, self._deliver_report, name, report)
        self.scheduler.call_later(REPORT_INTERVAL_S, self._collect_report, name)

    def _deliver_report(self, name, report):
        self.system.receive_report(name, report)

    def restart_engines(self):
        """Restart all engines without adapters, requests and caches."""
        for engine in self.engines.values():
            engine.restart()

    def lose_instance(self, instance):
        """Fail an instance; undispatched requests are retried, streams break."""
        self.live.remove(instance)
        self.lost_since[instance] = self.now
        self.system.instance_lost(instance)
        for job in self.jobs:
            if job.instance is instance and job.state in ("waiting", "admitted"):
                job.state = "waiting"
                self._settle(job, 0)
                self.scheduler.call_later(CALLER_RETRY_S, self._enter, job)
            elif job.instance is instance and job.state == "running":
                job.state = "broken"
                self._settle(job, 0)

    def replace_instance(self, instance):
        """Start the replacement of a failed instance."""
        self.live.append(instance)
        del self.lost_since[instance]
        self.system.instance_started(instance)

    def set_platform(self, up):
        """Set whether the platform's log and instance list are available."""
        self.platform_up = up
        self.system.links_changed()

    def cut_off(self, data_centre):
        """Partition a data centre from the others and from the platform.

        Streams that cross the partition are broken.
        """
        self.isolated.add(data_centre)
        for job in self.jobs:
            if job.state == "running":
                engine = self.engines[job.target]
                if not self.reachable(job.instance.data_centre, engine.data_centre):
                    job.state = "broken"
        self._links_changed()

    def reconnect(self, data_centre):
        """End the partition of a data centre."""
        self.isolated.discard(data_centre)
        self._links_changed()

    def _links_changed(self):
        for engine in self.engines.values():
            engine.store_reachable = engine.data_centre not in self.isolated
        self.system.links_changed()
