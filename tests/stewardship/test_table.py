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


def fold(records, start=0):
    table = StewardshipTable()
    for offset, record in enumerate(records):
        if offset >= start:
            table.apply(record, offset, float(offset))
    return table


def test_the_last_claim_holds_and_its_offset_is_the_number():
    table = fold([claim("i-1"), claim("i-2")])
    assert (table.full["t"].instance, table.full["t"].number) == ("i-2", 1)


def test_a_restatement_that_comes_late_brings_nothing_back():
    records = [claim("i-1"), claim("i-2"), claim("i-1", restates=0)]
    assert fold(records).full["t"].instance == "i-2"
    released = [claim("i-1"), release_record(target="t", number=0)]
    assert fold([*released, claim("i-1", restates=0)]).full["t"].released


def test_limited_claims_displace_no_full_one():
    table = fold([claim("i-1"), claim("i-2", full_powers=False)])
    assert table.full["t"].instance == "i-1"
    assert table.limited["t"].instance == "i-2"


def test_malformed_records_are_passed_over():
    table = fold([{"type": "steward-claim"}, {"type": "other"}, {"x": 1}])
    assert not table.full


ACTIONS = st.lists(
    st.tuples(st.sampled_from(["claim", "restate", "release"]), st.integers(0, 3)),
    max_size=12,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(ACTIONS, st.integers(0, 12))
def test_readers_that_start_later_agree_once_the_holder_has_restated(actions, start):
    records, numbers = [], {}
    for kind, who in actions:
        if kind == "claim":
            numbers[who] = len(records)
            records.append(claim(f"i-{who}"))
        elif who in numbers and kind == "restate":
            records.append(claim(f"i-{who}", restates=numbers[who]))
        elif who in numbers:
            records.append(release_record(target="t", number=numbers[who]))
    whole = fold(records).full.get("t")
    if whole is None or whole.released:
        return
    records.append(claim(whole.instance, restates=whole.number))
    late = fold(records, start=min(start, len(records) - 1)).full["t"]
    assert (late.instance, late.number) == (whole.instance, whole.number)
