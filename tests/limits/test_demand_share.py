"""Replays a hot team through several instances, in virtual time."""

import random

import pytest

from skylarkpost.gateway.quota import PATIENCE_S
from skylarkpost.limits.bucket import Receipt
from skylarkpost.limits.demand_share import DemandShares
from skylarkpost.routing import GatewayTeam

WINDOW = 8.0
SLACK = 110_000.0
TEAM = GatewayTeam("hot", (), 1, 20_000.0, 60_000.0, True, 200)


def replay(weights, *, offered, seconds=40.0, cut=None, seed=1):
    """Send requests to instances by weight; return (time, tokens) admitted."""
    rng = random.Random(seed)
    shares = [DemandShares(own=str(n), slack=SLACK, window=WINDOW) for n in range(4)]
    admitted, refused = [], 0
    now, told_at = 0.0, -1.0
    while now < seconds:
        tokens = rng.choice((600, 900, 9000, 12_000))
        now += rng.expovariate(offered / 5600)
        if now - told_at >= 0.5:
            told_at = now
            for teller, each in enumerate(shares):
                for hearer, other in enumerate(shares):
                    is_cut = cut is not None and cut[0] <= now < cut[1]
                    if teller != hearer and not (is_cut and 0 in (teller, hearer)):
                        other.hear(str(teller), each.own_demands(now))
        which = rng.choices(range(4), weights)[0]
        outcome = shares[which].admit(TEAM, tokens, instances=4, now=now)
        if isinstance(outcome, Receipt):
            admitted.append((now, tokens))
        else:
            assert outcome > 0.0
            # A shorter wait is waited for; see `PATIENCE_S`.
            refused += outcome > PATIENCE_S
    return admitted, refused


def most_in_window(admitted):
    return max(
        sum(tokens for at, tokens in admitted if begin <= at < begin + WINDOW)
        for begin, _ in admitted
    )


ALLOWED = (TEAM.rate * WINDOW + TEAM.burst) * 1.1 + SLACK


@pytest.mark.parametrize("weights", [(1, 1, 1, 1), (10, 1, 1, 1), (1, 0, 0, 0)])
def test_a_hot_team_gets_its_limit_and_no_more(weights):
    admitted, refused = replay(weights, offered=150_000)
    assert most_in_window(admitted) <= ALLOWED
    assert refused > 0
    total = sum(tokens for _, tokens in admitted)
    assert total >= 0.75 * (TEAM.rate + TEAM.burst / WINDOW) * 40.0


def test_a_cut_does_not_add_up_to_more_than_the_limit():
    admitted, _ = replay((1, 1, 1, 1), offered=150_000, cut=(10.0, 22.0))
    assert most_in_window(admitted) <= ALLOWED


def test_a_team_within_its_limit_is_hardly_refused():
    admitted, refused = replay((3, 2, 2, 1), offered=14_000)
    assert refused <= 0.02 * len(admitted)


def test_a_request_larger_than_any_share_is_admitted():
    shares = DemandShares(own="a", slack=0.0, window=WINDOW)
    small = TEAM._replace(rate=100.0, burst=100.0)
    assert isinstance(shares.admit(small, 60_000, instances=4, now=0.0), Receipt)
    wait = shares.admit(small, 1, instances=4, now=0.0)
    assert wait > 100.0


def test_what_has_not_run_is_given_back():
    shares = DemandShares(own="a", slack=8.0, window=WINDOW)
    small = TEAM._replace(rate=1.0, burst=1.0)
    receipt = shares.admit(small, 50, instances=1, now=0.0)
    assert not isinstance(shares.admit(small, 1, instances=1, now=0.0), Receipt)
    shares.refund("hot", receipt, now=0.0)
    assert isinstance(shares.admit(small, 1, instances=1, now=0.0), Receipt)
