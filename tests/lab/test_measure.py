import collections

import pytest

from lab.bounds import find_bounds
from lab.deployments import DEPLOYMENTS
from lab.figures import collect, pool, quantile, worst_over_best
from lab.measure import Task, figure_lines, replay_once
from lab.replay import Replay
from lab.scenarios import scenarios
from lab.systems import systems
from lab.traces import make_trace

KALAHARI = DEPLOYMENTS["kalahari"]


def short_replay(system, seed=3, duration=120):
    trace = make_trace(KALAHARI, seed=seed, duration=duration)
    cls = systems[system]
    replay = Replay(
        deployment=KALAHARI,
        trace=trace,
        system=lambda replay: cls(replay=replay),
        seed=seed,
    )
    return replay.run()


def test_quantile_is_nearest_rank():
    assert quantile([], 0.5) == 0.0
    assert quantile(range(1, 101), 0.95) == 95


def test_worst_over_best_compares_at_the_same_urgency():
    times = {(0, "a"): [1.0] * 60, (0, "b"): [2.0] * 60, (1, "a"): [9.0] * 60}
    assert worst_over_best(times, 0.95) == 2.0


@pytest.mark.parametrize("system", sorted(systems))
def test_replay_is_deterministic(system):
    assert collect(short_replay(system)) == collect(short_replay(system))


@pytest.mark.parametrize("system", sorted(systems))
def test_every_request_is_answered_or_refused(system):
    states = collections.Counter(job.state for job in short_replay(system).jobs)
    assert set(states) <= {"answered", "refused"}
    assert states["answered"] > 0


@pytest.mark.parametrize("system", sorted(systems))
def test_no_team_is_admitted_beyond_rate_and_burst(system):
    sample = replay_once(Task("kalahari", "overload", system, 4))
    assert sample.over_admitted <= 1e-6
    assert sample.answered < sample.requests


@pytest.mark.parametrize("scenario", sorted(scenarios))
def test_faults_take_effect(scenario):
    sample = replay_once(Task("rose-gifts", scenario, "baseline", 4))
    assert sample.answered > 0
    if scenario in ("restart", "instance-lost", "cut-off"):
        assert sample.broken > 0


def test_bound_is_below_the_baseline():
    trace = make_trace(KALAHARI, seed=3, duration=120)
    bounds = find_bounds(trace, deployment=KALAHARI)
    sample = pool([collect(short_replay("baseline"))])
    assert bounds.stalled_share <= len(sample.stalls) / sample.requests
    share = sample.preamble_hits / sample.preamble_tokens
    assert bounds.preamble_share >= share
    results = {("kalahari", "ordinary"): (bounds, {"baseline": sample})}
    assert {line.system for line in figure_lines(results)} == {"baseline"}
