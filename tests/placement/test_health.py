"""Detection of targets that fail some requests, all fail, or are unreachable."""

import random

from skylarkpost.placement.health import HealthPolicy, TargetHealthTracker

POOL = ["a", "b", "c", "d"]


def replay(health, failing, *, share=0.4, seconds=8.0, seed=1):
    rng = random.Random(seed)
    now, avoided = 0.0, {}
    while now < seconds:
        now += 0.1
        target = rng.choice(POOL)
        failed = target in failing and rng.random() < share
        health.note_answer(target, now, failed=failed)
        for name in health.avoided(POOL, now):
            avoided[name] = avoided.get(name, 0) + 1
    return avoided


def test_a_target_that_fails_part_of_its_requests_is_avoided():
    for seed in range(10):
        avoided = replay(TargetHealthTracker(), {"b"}, share=0.6, seed=seed)
        assert avoided.get("b", 0) > 10
        assert all(avoided.get(name, 0) < avoided["b"] for name in "acd")


def test_a_failure_common_to_all_targets_keeps_the_pool_in_use():
    avoided = replay(TargetHealthTracker(), set(POOL), share=0.14)
    assert sum(avoided.values()) < 80


def test_at_most_half_of_a_pool_is_avoided_for_failures():
    health = TargetHealthTracker()
    for name in "abc":
        for _ in range(5):
            health.note_answer(name, 0.0, failed=True)
    for _ in range(60):
        health.note_answer("d", 0.0, failed=False)
    assert len(health.avoided(POOL, 0.1)) == 2


def test_in_a_partition_only_reachable_targets_are_used():
    """Load pattern: one data centre of three and its target are partitioned off."""
    health = TargetHealthTracker()
    for name in "abc":
        health.note_unreachable(name, 0.0)
    assert health.avoided(POOL, 0.1) == frozenset("abc")
    health.note_unreachable("d", 0.0)
    assert len(health.avoided(POOL, 0.1)) == 3
    assert health.avoided(["a"], 0.1) == frozenset()


def test_an_unreachable_target_is_retried_with_exponential_backoff():
    policy = HealthPolicy()
    health = TargetHealthTracker(policy=policy)
    now = 0.0
    for pause in (0.5, 1.0, 2.0, 4.0, 4.0):
        health.note_unreachable("a", now)
        assert "a" in health.avoided(POOL, now + pause - 0.01)
        now += pause
        record = health.records["a"]
        assert now >= record.paused_until
    health.note_answer("a", now, failed=False)
    assert health.records["a"].consecutive_failures == 0


def test_records_of_removed_targets_are_dropped():
    health = TargetHealthTracker()
    health.note_unreachable("a", 0.0)
    health.retain_only({"b"})
    assert health.records == {}


def test_a_failure_is_forgotten_after_some_decay_times():
    health = TargetHealthTracker()
    for _ in range(5):
        health.note_unreachable("b", 0.0)
    assert health.avoided(POOL, 0.1) == {"b"}
    later = health.memory + 0.1
    assert health.avoided(POOL, later) == frozenset()
    assert health.failed_at == {}
