"""Limits that targets name, as instances hear of them and share them."""

import random
import types

import pytest

from skylarkpost.gateway.target_limits import TargetLimitController
from skylarkpost.limits.demand_share import TeamUsage
from skylarkpost.limits.target_limits import TargetLimits
from skylarkpost.settings.gateway import BoundSettings

WINDOW_S = 4.0
BOOT = "p0/1"


def test_the_answer_to_the_latest_request_decides():
    limits = TargetLimits(life=15.0)
    assert limits.note_answer(BOOT, 2.0, sent_at=10.0)
    assert not limits.note_answer(BOOT, 3.0, sent_at=9.0)
    assert limits.limit(BOOT, 11.0) == 2.0
    assert limits.note_answer(BOOT, None, sent_at=12.0)
    assert not limits.receive(BOOT, 2.0, 11.0)
    assert limits.limit(BOOT, 13.0) is None


def test_answers_without_a_limit_leave_no_trace():
    limits = TargetLimits(life=15.0)
    assert not limits.note_answer(BOOT, None, sent_at=1.0)
    assert limits.own == limits.newest == {}


def test_what_another_instance_heard_counts_and_is_not_published_again():
    limits = TargetLimits(life=15.0)
    assert limits.receive(BOOT, 2.0, 10.0)
    assert limits.limit(BOOT, 11.0) == 2.0
    assert limits.own_ages(11.0) == {}
    limits.note_answer(BOOT, 2.0, sent_at=10.5)
    assert limits.own_ages(11.0) == {BOOT: (2.0, 0.5)}


def test_a_limit_ends_if_no_answer_names_it():
    limits = TargetLimits(life=15.0)
    limits.note_answer(BOOT, 2.0, sent_at=10.0)
    assert limits.limit(BOOT, 24.9) == 2.0
    assert limits.limit(BOOT, 25.0) is None
    limits.expire(25.0)
    assert limits.own == limits.newest == {}


def build(name, rng, count):
    services = types.SimpleNamespace(
        instance=name,
        random=rng,
        settings=types.SimpleNamespace(bounds=BoundSettings()),
        fleet_size=lambda: count,
        controllers={},
    )
    return TargetLimitController(services=services)


def press(weights, *, limit, offered, seed, seconds=30.0, restarts=(), moves=None):
    """Send requests to one target by weight of the instances.

    All instances hear of the limit at the beginning. Callers move to other instances
    every `moves` seconds. Return the times of the requests
    that were sent, and the number of those refused.
    """
    rng = random.Random(seed)
    count = len(weights)
    instances = [build(str(n), rng, count) for n in range(count)]
    now, reported_at, sent, due = 0.0, -1.0, [], list(restarts)
    refused = 0
    while now < seconds:
        now += rng.expovariate(offered)
        if due and now >= due[0]:
            due.pop(0)
            number = rng.randrange(count)
            instances[number] = build(str(number), rng, count)
        for each in instances:
            each.limits.receive(BOOT, limit, now)
        if now - reported_at >= 0.4:
            reported_at = now
            for sender, each in enumerate(instances):
                usage = {b: TeamUsage(*u) for b, u in each.shares.report(now).items()}
                for receiver, other in enumerate(instances):
                    if sender != receiver:
                        other.shares.receive(str(sender), usage, now)
        turn = 0 if moves is None else int(now / moves) % count
        instance = rng.choices(instances, (*weights[turn:], *weights[:turn]))[0]
        if instance.admit(BOOT, now) == 0.0:
            sent.append(now)
        else:
            refused += 1
    return sent, refused


def most_in_a_window(times):
    return max(sum(at <= each < at + WINDOW_S for each in times) for at in times)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("weights", [(1,), (1, 1, 1, 1), (5, 3, 1, 1), (1,) * 30])
@pytest.mark.parametrize("limit", [2.0, 8.0])
def test_instances_keep_together_to_the_limit_of_a_pressed_target(weights, limit, seed):
    sent, _ = press(weights, limit=limit, offered=4 * limit, seed=seed)
    settled = [at for at in sent if at >= WINDOW_S]
    assert most_in_a_window(settled) <= 1.5 * WINDOW_S * limit + 5
    # Over the whole time, most of what the limit allows is used.
    assert len(settled) >= 0.6 * limit * 26.0


@pytest.mark.parametrize("seed", range(3))
def test_instances_that_start_again_do_not_exceed_the_limit_of_a_target(seed):
    restarts = [5.0 + 1.5 * n for n in range(12)]
    sent, _ = press((1,) * 4, limit=3.0, offered=12.0, seed=seed, restarts=restarts)
    settled = [at for at in sent if at >= WINDOW_S]
    assert most_in_a_window(settled) <= 1.5 * WINDOW_S * 3.0 + 5


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("moves", [1.5, 3.0, 6.0])
@pytest.mark.parametrize("limit", [2.0, 8.0])
def test_callers_that_move_do_not_exceed_the_limit_of_a_target(limit, moves, seed):
    weights = (30, 1, 1, 1)
    sent, _ = press(weights, limit=limit, offered=4 * limit, seed=seed, moves=moves)
    settled = [at for at in sent if at >= WINDOW_S]
    assert most_in_a_window(settled) <= 1.5 * WINDOW_S * limit + 5
    assert len(settled) >= 0.5 * limit * 26.0


@pytest.mark.parametrize("seed", range(3))
def test_a_target_that_is_not_pressed_refuses_little(seed):
    sent, refused = press((1,) * 4, limit=8.0, offered=4.0, seed=seed)
    assert refused <= 0.02 * len(sent)
