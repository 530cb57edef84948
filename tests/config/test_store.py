import pytest

from skylarkpost.config import ConfigStore
from skylarkpost.config.verdicts import (
    Accepted,
    Conflict,
    Duplicate,
    Invalid,
    Restated,
    Stale,
)

PROFILE = {"base_model": "base", "adapter": "a1", "version": "3", "teams": ["depot"]}


def change(change_id, *, expected, body, kind="profile", name="plan", made_at=0.0):
    return {
        "type": "change",
        "change_id": change_id,
        "author": "op",
        "reason": "test",
        "kind": kind,
        "name": name,
        "expected_version": expected,
        "body": body,
        "made_at": made_at,
    }


def statement(*, version, as_of, body, kind="profile", name="plan"):
    item = {"kind": kind, "name": name, "version": version, "body": body}
    return {"type": "restatement", "as_of": as_of, "items": [item], "writer": "e1"}


def apply_all(store, records, *, start=0, time=0.0):
    return [
        store.apply(record=record, offset=start + index, time=time, now=0.0)
        for index, record in enumerate(records)
    ]


def test_the_first_of_two_racing_operators_wins_and_the_other_gets_a_conflict():
    store = ConfigStore()
    verdicts = apply_all(
        store,
        [
            change("c1", expected=0, body=PROFILE),
            change("c2", expected=1, body={**PROFILE, "version": "4"}),
            change("c3", expected=1, body={**PROFILE, "version": "5"}),
        ],
    )
    assert verdicts[1] == Accepted(version=2, previous_version=1)
    assert verdicts[2] == Conflict(expected_version=1, present_version=2)
    assert store.profile("plan").version == "4"
    assert store.profile("plan").config_version == 2


def test_a_copy_of_a_change_is_a_duplicate_with_the_first_verdict():
    store = ConfigStore()
    create = change("c1", expected=0, body=PROFILE)
    remove = change("c2", expected=None, body=None)
    verdicts = apply_all(store, [create, remove, create])
    assert verdicts[2] == Duplicate(first=verdicts[0])
    assert store.profile("plan") is None


def test_a_record_at_an_applied_offset_is_stale():
    store = ConfigStore()
    apply_all(store, [change("c1", expected=0, body=PROFILE)])
    again = change("c2", expected=None, body=None)
    assert store.apply(record=again, offset=0, time=0.0, now=0.0) == Stale()
    assert store.profile("plan") is not None


def test_a_withdrawn_key_is_remembered_and_not_undone_by_a_late_restatement():
    store = ConfigStore()
    key = {"kind": "key", "name": "ab" * 32}
    body = {"team": "depot"}
    seen = []
    store.subscribe("key", lambda item_change, now: seen.append(item_change))
    verdicts = apply_all(
        store,
        [
            change("c1", expected=0, body=body, **key),
            change("c2", expected=None, body=None, **key),
            statement(version=1, as_of=1, body=body, **key),
        ],
    )
    assert verdicts[2] == Restated(stale=1)
    assert store.key("ab" * 32).withdrawn
    assert [item_change.item is None for item_change in seen] == [False, True]


@pytest.mark.parametrize("late_first", [True, False])
def test_a_fresh_reader_takes_the_withdrawal_whatever_the_order_of_writers(late_first):
    key = {"kind": "key", "name": "ab" * 32}
    late = statement(version=1, as_of=1, body={"team": "depot"}, **key)
    tombstone = statement(version=4, as_of=12, body=None, **key)
    store = ConfigStore(first_offset=10)
    records = [late, tombstone] if late_first else [tombstone, late]
    apply_all(store, records, start=10)
    store.finish_history(time=0.0, now=0.0)
    assert store.key("ab" * 32).withdrawn


def test_a_fresh_reader_evaluates_changes_only_after_the_restatement():
    store = ConfigStore(first_offset=10)
    apply_all(
        store,
        [
            change("c1", expected=7, body={**PROFILE, "version": "wrong"}),
            change("c2", expected=9, body={**PROFILE, "version": "right"}),
            statement(version=9, as_of=11, body=PROFILE),
        ],
        start=10,
    )
    assert store.profile("plan").version == "3"
    store.finish_history(time=0.0, now=0.0)
    assert store.profile("plan").version == "right"
    assert store.profile("plan").config_version == 12


def test_a_restatement_of_what_is_known_changes_nothing():
    store = ConfigStore()
    apply_all(store, [change("c1", expected=0, body=PROFILE)])
    verdict = apply_all(store, [statement(version=1, as_of=1, body=PROFILE)], start=1)
    assert verdict == [Restated(confirmed=1)]
    assert store.tables["profile"].header("plan") == (1, 1, 1)


@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "wish"},
        {"name": "../plan"},
        {"body": {**PROFILE, "urgency": 10}},
        {"body": {**PROFILE, "pool": "p"}},
        {"author": ""},
        {"expected_version": -1},
        {"made_at": 31.0},
        {"made_at": -31.0},
        {"type": "wish"},
        {"type": ["change"]},
        {"kind": {}},
        {"body": []},
    ],
)
def test_an_invalid_record_is_reported_and_changes_nothing(fault):
    store = ConfigStore()
    record = {**change("c1", expected=0, body=PROFILE), **fault}
    (verdict,) = apply_all(store, [record])
    assert isinstance(verdict, Invalid)
    assert list(store.items("profile")) == []
    assert store.applied_offset == 0
