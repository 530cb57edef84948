"""Replays a hot team through several instances, in virtual time."""

import random

import pytest

from skylarkpost.gateway.quota import MAX_LIMIT_WAIT_S
from skylarkpost.limits.demand_share import DemandShares, SlidingWindow
from skylarkpost.limits.demand_share import WindowReceipt as Receipt
from skylarkpost.routing import GatewayTeam

WINDOW = 8.0
SLACK = 110_000.0
TEAM = GatewayTeam("hot", (), 1, 20_000.0, 60_000.0, True, 200)


def replay(weights, *, offered, seconds=40.0, cut=None, seed=1, after=0.0):
    """Send requests to instances by weight; return (time, tokens) admitted."""
    rng = random.Random(seed)
    count = len(weights)
    shares = [
        DemandShares(own=str(n), random=rng, slack=SLACK, window=WINDOW)
        for n in range(count)
    ]
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
                    if teller == hearer:
                        continue
                    if is_cut and 0 in (teller, hearer):
                        other.silent.add(str(teller))
                        continue
                    other.silent.discard(str(teller))
                    other.receive(str(teller), each.report(now))
        which = rng.choices(range(count), weights)[0]
        outcome = shares[which].admit(TEAM, tokens, instances=count, now=now)
        if isinstance(outcome, Receipt):
            admitted.append((now, tokens))
        else:
            assert outcome > 0.0
            # A shorter wait is waited for; see `MAX_LIMIT_WAIT_S`.
            refused += outcome > MAX_LIMIT_WAIT_S and now >= after
    return admitted, refused


def most_in_window(admitted):
    return max(
        sum(tokens for at, tokens in admitted if begin <= at < begin + WINDOW)
        for begin, _ in admitted
    )


ALLOWED = (TEAM.rate * WINDOW + TEAM.burst) * 1.1 + SLACK


@pytest.mark.parametrize(
    "weights", [(1, 1, 1, 1), (10, 1, 1, 1), (1, 0, 0, 0), (1,) * 27]
)
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
    # For the length of a window a new instance holds back what another run of
    # it may have admitted.
    for weights in ((3, 2, 2, 1), (1,) * 27):
        admitted, refused = replay(weights, offered=14_000, after=WINDOW)
        assert refused <= 0.02 * len(admitted)


def test_a_request_larger_than_any_share_is_admitted():
    shares = DemandShares(own="a", random=random.Random(1), slack=0.0, window=WINDOW)
    small = TEAM._replace(rate=1000.0, burst=1000.0)
    now, outcome = 0.0, None
    while not isinstance(outcome, Receipt):
        now += 0.5
        outcome = shares.admit(small, 20_000, instances=4, now=now)
    assert now < 60.0
    # What it owes is paid in the windows that follow.
    assert shares.admit(small, 1, instances=4, now=now) > 1.0
    assert shares.admit(small, 1, instances=4, now=now + WINDOW) > 1.0


def test_a_restart_does_not_bring_a_second_window():
    """Load pattern: all instances die and come back while a team is hot."""
    shares = DemandShares(own="a", random=random.Random(1), slack=0.0, window=WINDOW)
    total, now = 0.0, 0.0
    while now < 6.0:
        now += 0.05
        total += isinstance(shares.admit(TEAM, 900, instances=1, now=now), Receipt)
    shares = DemandShares(own="a", random=random.Random(1), slack=0.0, window=WINDOW)
    while now < WINDOW:
        now += 0.05
        total += isinstance(shares.admit(TEAM, 900, instances=1, now=now), Receipt)
    assert 900 * total <= ALLOWED


def test_what_has_not_run_is_given_back():
    window = SlidingWindow(length=WINDOW)
    receipt = window.admit(10.0, allowed=10.0, now=0.0)
    assert window.admit(1.0, allowed=10.0, now=1.0) == pytest.approx(7.0)
    window.refund(receipt)
    assert isinstance(window.admit(1.0, allowed=10.0, now=1.0), Receipt)
