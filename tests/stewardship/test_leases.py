"""Leases decided by log order: at most one instance gives orders at a time."""

import random

import pytest

from skylarkpost.stewardship.leases import (
    LeasePolicy,
    LeaseRecord,
    LeaseTable,
    decode_lease,
    encode_lease,
)

POLICY = LeasePolicy()
LIVE = {"a": "yaba", "b": "yaba", "c": "ikeja"}


def table(own="a"):
    return LeaseTable(own=own, policy=POLICY)


def test_the_first_holder_of_a_target_may_order_at_once():
    lease_table = table()
    lease_table.apply("t", LeaseRecord("a", is_settled=True), 0, now=10.0)
    assert lease_table.may_order("t", fresh_at=10.0, now=10.0)


def test_authority_ends_when_the_table_is_too_old():
    lease_table = table()
    lease_table.apply("t", LeaseRecord("a", is_settled=True), 0, now=10.0)
    assert lease_table.may_order("t", fresh_at=10.0, now=10.0 + POLICY.authority)
    assert not lease_table.may_order("t", fresh_at=10.0, now=10.1 + POLICY.authority)


def test_a_new_holder_waits_until_the_previous_one_must_have_stopped():
    lease_table = table()
    lease_table.apply("t", LeaseRecord("b", is_settled=True), 0, now=0.0)
    lease_table.apply("t", LeaseRecord("a"), 1, now=10.0)
    wait = POLICY.authority + POLICY.order_gap
    assert not lease_table.may_order("t", fresh_at=10.0 + wait, now=10.0 + wait)
    assert lease_table.due_settlements(10.0 + wait) == []
    later = 10.0 + wait + POLICY.margin
    assert lease_table.due_settlements(later) == ["t"]
    assert not lease_table.may_order("t", fresh_at=later, now=later)
    lease_table.apply("t", LeaseRecord("a", is_settled=True), 2, now=later)
    assert lease_table.may_order("t", fresh_at=later, now=later)


def test_a_restarted_instance_resumes_only_a_settled_lease():
    lease_table = table()
    lease_table.apply("settled", LeaseRecord("a", is_settled=True), 4, now=10.0)
    lease_table.apply("unsettled", LeaseRecord("a"), 5, now=10.0)
    assert lease_table.may_order("settled", fresh_at=10.0, now=10.0)
    assert not lease_table.may_order("unsettled", fresh_at=10.0, now=10.0)


def test_a_settlement_record_does_not_shorten_the_wait():
    lease_table = table()
    lease_table.apply("t", LeaseRecord("b", is_settled=True), 0, now=0.0)
    lease_table.apply("t", LeaseRecord("a"), 1, now=10.0)
    lease_table.apply("t", LeaseRecord("a", is_settled=True), 2, now=10.5)
    assert not lease_table.may_order("t", fresh_at=10.5, now=10.5)


def test_a_lost_lease_gives_no_authority():
    lease_table = table()
    lease_table.apply("t", LeaseRecord("a", is_settled=True), 0, now=0.0)
    lease_table.apply("t", LeaseRecord("b"), 1, now=1.0)
    assert not lease_table.may_order("t", fresh_at=1.0, now=1.0)
    assert lease_table.held() == []


def claiming_instances(target, live, now, tables):
    return [
        name
        for name, lease_table in tables.items()
        if name in live and lease_table.due_claims({target: "yaba"}, live, now)
    ]


def test_one_instance_of_the_targets_data_centre_claims_a_vacant_target():
    tables = {name: table(name) for name in LIVE}
    first = claiming_instances("t", LIVE, 0.0, tables)
    assert len(first) == 1
    assert LIVE[first[0]] == "yaba"


def test_a_remote_instance_waits_out_a_network_partition():
    tables = {"c": table("c")}
    tables["c"].apply("t", LeaseRecord("a"), 0, now=0.0)
    live = {"c": "ikeja"}
    assert not claiming_instances("t", live, 0.0, tables)
    assert not claiming_instances("t", live, 6.9, tables)
    assert claiming_instances("t", live, 7.1, tables) == ["c"]


def test_a_live_holder_is_not_replaced():
    lease_table = table("b")
    lease_table.apply("t", LeaseRecord("a"), 0, now=0.0)
    for now in (0.0, 50.0):
        assert not lease_table.due_claims({"t": "yaba"}, LIVE, now)


def test_lease_records_survive_encoding():
    record = LeaseRecord("a", is_settled=True)
    assert decode_lease(encode_lease(record)) == record
    assert decode_lease(b"nonsense") is None


@pytest.mark.parametrize("seed", range(20))
def test_orders_of_two_holders_are_at_least_the_gap_apart(seed):
    """Random claims, stale reads, pauses and restarts in virtual time."""
    rng = random.Random(seed)
    names = list(LIVE)
    log = []
    tables = {name: table(name) for name in names}
    read = dict.fromkeys(names, 0)
    fresh = dict.fromkeys(names, 0.0)
    last_order = {}
    now = 0.0
    for _ in range(4000):
        now += rng.choice((0.01, 0.05, 0.2, 1.0))
        name = rng.choice(names)
        action = rng.random()
        if action < 0.35:
            for offset in range(read[name], len(log)):
                tables[name].apply("t", log[offset], offset, now)
            read[name], fresh[name] = len(log), now
        elif action < 0.42 and read[name] == len(log):
            first = tables[name].is_first("t")
            log.append(LeaseRecord(name, is_settled=first))
        elif action < 0.47 and read[name] == len(log):
            for _ in tables[name].due_settlements(now):
                log.append(LeaseRecord(name, is_settled=True))
        elif action < 0.50:
            tables[name] = table(name)
            newest = len(log) - 1
            if log:
                tables[name].apply("t", log[newest], newest, now)
            read[name], fresh[name] = len(log), now
        elif tables[name].may_order("t", fresh[name], now):
            for other, at in last_order.items():
                assert other == name or now - at >= POLICY.order_gap - 1e-6
            last_order[name] = now
    assert last_order
