"""Requests to targets that warm up: a data centre of them comes back at once."""

import random

import pytest

from skylarkpost.placement.warm_up import (
    MAX_TRACKED,
    MAX_WARM_UP_S,
    WarmUpLimit,
    WarmUps,
    WarmUpShares,
)

INSTANCES = [f"entry-{number}" for number in range(24)]


def most_in_a_second(times):
    times = sorted(times)
    return max(sum(at <= each < at + 1.0 for each in times) for at in times)


@pytest.mark.parametrize("rate, excess", [(7.5, 8.75), (2.0, 1.0), (0.5, 5.0), (40, 0)])
def test_all_instances_together_stay_within_what_a_target_tolerates(rate, excess):
    """Every instance has callers for the only target that has room."""
    limit = WarmUpLimit(rate, excess)
    shares = [WarmUpShares(own=instance) for instance in INSTANCES]
    draws, sent = random.Random(1), []
    for step in range(500):
        now = step * 0.02
        for share in draws.sample(shares, len(shares)):
            wait = share.admit(
                "t/1", limit, left=10.0 - now, instances=INSTANCES, now=now
            )
            if wait == 0.0:
                sent.append(now)
    assert most_in_a_second(sent) <= max(rate + max(1, excess), 1)
    assert len(sent) >= 0.5 * rate * 10.0


def test_an_instance_without_a_share_waits_for_the_end_of_the_warm_up():
    limit = WarmUpLimit(rate=5.0, excess=2.0)
    waits = [
        WarmUpShares(own=each).admit(
            "t/1", limit, left=2.5, instances=INSTANCES, now=1.0
        )
        for each in INSTANCES
    ]
    assert waits.count(0.0) == 2
    assert waits.count(2.5) == len(INSTANCES) - 2


def test_a_newer_announcement_replaces_an_earlier_one():
    warm_ups = WarmUps()
    warm_ups.note_announced("t/1", 30.0, now=0.0)
    warm_ups.note_announced("t/1", 0.0, now=1.0)
    assert warm_ups.left("t/1", 1.0) == 0.0


def test_an_answer_counts_until_its_time_is_over_whatever_is_announced():
    warm_ups = WarmUps()
    assert warm_ups.note_answer("t/1", 3.0, now=0.0)
    assert not warm_ups.note_answer("t/1", 1.0, now=0.5)
    assert not warm_ups.note_answer("t/1", None, now=0.5)
    warm_ups.note_announced("t/1", 0.0, now=1.0)
    assert warm_ups.left("t/1", 1.0) == 2.0
    assert warm_ups.boots(2.9) == ["t/1"]
    assert warm_ups.boots(3.0) == []


def test_a_warm_up_without_end_is_bounded_and_so_is_their_number():
    warm_ups = WarmUps()
    warm_ups.note_announced("t/1", 1e9, now=0.0)
    assert warm_ups.left("t/1", 0.0) == MAX_WARM_UP_S
    for number in range(MAX_TRACKED + 50):
        warm_ups.note_announced(f"t{number}/1", 3.0, now=10.0)
    assert len(warm_ups.announced) == MAX_TRACKED


def test_a_limit_below_one_request_a_second_still_admits_one():
    assert WarmUpLimit(rate=0.2, excess=0.0).allowed == 1.0
