from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkpost.stewardship.table import (
    StewardshipTable,
    claim_record,
    release_record,
)


def claim(instance, *, restates=None, full_powers=True):
    return claim_record(
        target="t",
        instance=instance,
        boot="b",
        data_centre="d",
        full_powers=full_powers,
        restates=restates,
    )


def read_log(records, start=0):
    table = StewardshipTable()
    for offset, record in enumerate(records):
        if offset >= start:
            table.apply(record, offset, float(offset))
    return table


def test_the_newest_claim_wins_and_its_offset_is_the_number():
    table = read_log([claim("i-1"), claim("i-2")])
    assert (table.full["t"].instance, table.full["t"].number) == ("i-2", 1)


def test_a_late_restatement_revives_no_replaced_or_released_claim():
    records = [claim("i-1"), claim("i-2"), claim("i-1", restates=0)]
    assert read_log(records).full["t"].instance == "i-2"
    released = [claim("i-1"), release_record(target="t", number=0)]
    assert read_log([*released, claim("i-1", restates=0)]).full["t"].released


def test_limited_claims_do_not_replace_full_claims():
    table = read_log([claim("i-1"), claim("i-2", full_powers=False)])
    assert table.full["t"].instance == "i-1"
    assert table.limited["t"].instance == "i-2"


def test_malformed_records_are_ignored():
    table = read_log([{"type": "steward-claim"}, {"type": "other"}, {"x": 1}])
    assert not table.full


ACTIONS = st.lists(
    st.tuples(st.sampled_from(["claim", "restate", "release"]), st.integers(0, 3)),
    max_size=12,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(ACTIONS, st.integers(0, 12))
def test_late_readers_agree_after_the_holder_restates_its_claim(actions, start):
    records, numbers = [], {}
    for kind, who in actions:
        if kind == "claim":
            numbers[who] = len(records)
            records.append(claim(f"i-{who}"))
        elif who in numbers and kind == "restate":
            records.append(claim(f"i-{who}", restates=numbers[who]))
        elif who in numbers:
            records.append(release_record(target="t", number=numbers[who]))
    whole = read_log(records).full.get("t")
    if whole is None or whole.released:
        return
    records.append(claim(whole.instance, restates=whole.number))
    late = read_log(records, start=min(start, len(records) - 1)).full["t"]
    assert (late.instance, late.number) == (whole.instance, whole.number)
