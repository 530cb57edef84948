"""Replay scenarios: a trace and faults injected at given times."""

from typing import NamedTuple

from lab.traces import DURATION_S, SHIFT_SHARE, make_trace

__all__ = ["Scenario", "register_scenario", "scenarios"]

RESTART_AT = 0.5
LOSS_FROM = 0.4
LOSS_UNTIL = 0.7
PLATFORM_OUT_FROM_S = 150.0
PLATFORM_OUT_S = 600.0
CUT_FROM = 0.4
CUT_UNTIL = 0.6

scenarios = {}


class Scenario(NamedTuple):
    """One scenario.

    Attributes
    ----------
    name, title : str
        Name on the command line, and title in tables.
    inject : callable
        Called with a `lab.replay.Replay`; schedules the faults of one run.
    trace_options : dict
        Options of `lab.traces.make_trace`; ``overload`` is the index of a team.
    """

    name: str
    title: str
    inject: object
    trace_options: dict

    def trace(self, deployment, *, seed):
        """Return the trace of this scenario.

        Parameters
        ----------
        deployment : lab.deployments.Deployment
            Deployment that receives the requests.
        seed : int
            Seed of the trace.

        Returns
        -------
        list of lab.traces.Request
        """
        options = dict(self.trace_options)
        if "overload" in options:
            options["overload"] = deployment.teams[options["overload"]].name
        return make_trace(deployment, seed=seed, **options)


def register_scenario(name, title, **trace_options):
    """Register a scenario with the function that schedules its faults.

    Parameters
    ----------
    name, title : str
        Name on the command line, and title in tables.
    **trace_options
        See `Scenario`.

    Returns
    -------
    callable
        The function's decorator.
    """

    def decorate(inject):
        assert name not in scenarios, f"scenario {name} is registered twice"
        scenarios[name] = Scenario(name, title, inject, trace_options)
        return inject

    return decorate


@register_scenario("ordinary", "ordinary morning")
def plan_nothing(replay):
    """Inject no faults."""


@register_scenario(
    "shift", "popularity shifting by 19% within the hour", shift=SHIFT_SHARE
)
def plan_shift(replay):
    """Inject no faults; the popularity shift is part of the trace."""


@register_scenario("overload", "the largest team at five times its rate", overload=0)
def plan_overload(replay):
    """Inject no faults; the extra requests are part of the trace."""


@register_scenario("restart", "all engines restarted empty")
def plan_restart(replay):
    """Restart all engines halfway through the trace."""
    replay.scheduler.call_at(RESTART_AT * DURATION_S, replay.restart_engines)


@register_scenario("instance-lost", "one instance of four lost")
def plan_instance_loss(replay):
    """Fail one instance of the data centre that has two, and replace it later."""
    instance = replay.deployment.instances[-1]
    call_at = replay.scheduler.call_at
    call_at(LOSS_FROM * DURATION_S, replay.lose_instance, instance)
    call_at(LOSS_UNTIL * DURATION_S, replay.replace_instance, instance)


@register_scenario("platform-out", "platform out for ten minutes")
def plan_platform_outage(replay):
    """Make the platform's log and instance list unreachable for a while."""
    until = PLATFORM_OUT_FROM_S + PLATFORM_OUT_S
    replay.scheduler.call_at(PLATFORM_OUT_FROM_S, replay.set_platform, False)
    replay.scheduler.call_at(until, replay.set_platform, True)


@register_scenario("cut-off", "one data centre cut off")
def plan_cut(replay):
    """Partition one data centre from the others, the log and the weight store."""
    data_centre = replay.deployment.data_centres[1]
    call_at = replay.scheduler.call_at
    call_at(CUT_FROM * DURATION_S, replay.cut_off, data_centre)
    call_at(CUT_UNTIL * DURATION_S, replay.reconnect, data_centre)
