import pytest

from skylarkpost.limits import DrawGranted, Grant, NoShares, PoolHolder


@pytest.fixture
def pools():
    pools = PoolHolder(holder="e1/b1", lease=2.0)
    pools.add_lease("t", "e1", Grant("a", 10.0, 100.0, 0.0), requested_at=0.0, now=0.0)
    pools.add_lease("t", "e2", Grant("b", 10.0, 100.0, 50.0), requested_at=0.5, now=1.0)
    return pools


def test_tokens_accrue_up_to_the_end_of_each_lease_only(pools):
    # 10 tokens by 1 s, 50 added with the second share, 20 more by 2 s when the
    # first lease expires, then 5 by 2.5 s.
    pools.advance("t", now=2.4)
    bucket = pools.pools["t"].bucket
    assert bucket.level == pytest.approx(84.0)
    pools.advance("t", now=60.0)
    assert bucket.level == 0.0
    assert pools.draw("t", 1, now=60.0) == NoShares()


def test_a_share_that_arrives_after_its_lease_is_dropped(pools):
    grant = Grant("c", 10.0, 100.0, 100.0)
    assert not pools.add_lease("t", "e3", grant, requested_at=0.0, now=2.0)


def test_a_grant_that_arrives_twice_counts_once(pools):
    grant = Grant("b", 10.0, 100.0, 50.0)
    assert not pools.add_lease("t", "e2", grant, requested_at=1.0, now=1.1)


def test_a_refund_after_all_leases_have_expired_is_dropped(pools):
    answer = pools.draw("t", 50, now=1.0)
    assert isinstance(answer, DrawGranted)
    pools.advance("t", now=10.0)
    pools.add_lease(
        "t", "e1", Grant("d", 10.0, 100.0, 0.0), requested_at=10.0, now=10.0
    )
    assert pools.refund("t", answer.receipt, 50, now=10.1) == 0.0


def test_retry_after_is_the_time_until_there_are_enough_tokens(pools):
    refused = pools.draw("t", 70, now=1.0)
    assert refused.retry_after == pytest.approx(0.5)
    assert pools.draw("t", 201, now=1.0).retry_after is None
