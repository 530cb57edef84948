"""The prefill rate of engines of any speed is learned from first tokens."""

import random

import pytest

from skylarkpost.placement.prefill_rate import PrefillRate

REQUESTS_PER_S = 4


def observe(rate, tokens_per_s, requests, *, seed=1, busy=0.4):
    """Replay first tokens of engines that also serve unknown requests."""
    rng = random.Random(seed)
    for _ in range(requests):
        tokens = rng.uniform(200.0, 12_000.0)
        wait = rng.expovariate(1.0 / 6_000.0) if rng.random() < busy else 0.0
        rate.note_first_token(tokens, 0.015 + (tokens + wait) / tokens_per_s)


@pytest.mark.parametrize("tokens_per_s", [8_000.0, 40_000.0, 80_000.0])
def test_engines_that_differ_by_a_factor_of_ten_are_learned_within_seconds(
    tokens_per_s,
):
    rate = PrefillRate()
    observe(rate, tokens_per_s, 10 * REQUESTS_PER_S)
    assert 0.6 * tokens_per_s < rate.tokens_per_s < 1.35 * tokens_per_s


def test_the_rate_follows_engines_that_become_slower():
    rate = PrefillRate()
    observe(rate, 40_000.0, 200)
    observe(rate, 10_000.0, 200)
    assert 6_000.0 < rate.tokens_per_s < 14_000.0


def test_short_prompts_say_nothing_about_the_rate():
    rate = PrefillRate()
    before = rate.tokens_per_s
    for _ in range(100):
        rate.note_first_token(100.0, 0.02)
    assert rate.tokens_per_s == before
