import pytest

from skylarkpost.limits import SlotOwner, SlotTable, Succession

OLD, NEW = SlotOwner("e1", "b1"), SlotOwner("e2", "b2")


def record(kind, owner, **fields):
    record = {"type": f"slot-{kind}", "slot": "a/0", **fields}
    return record | {"instance": owner.instance, "boot": owner.boot}


@pytest.fixture
def table():
    return SlotTable(retention=100.0)


def test_the_first_claim_by_offset_wins(table):
    assert table.apply(record("claim", OLD, expects=None), 0, 0.0)
    assert not table.apply(record("claim", NEW, expects=None), 1, 0.1)
    assert table.states["a/0"].owner == OLD
    assert table.states["a/0"].succession is Succession.FIRST


def test_a_claim_that_names_another_claim_is_refused(table):
    table.apply(record("claim", OLD, expects=None), 0, 0.0)
    assert table.apply(record("claim", NEW, expects=0), 1, 0.1)
    assert not table.apply(record("claim", OLD, expects=0), 2, 0.2)
    assert not table.apply(record("confirm", OLD, claim=0), 3, 0.3)
    assert table.states["a/0"].owner == NEW


def test_released_tokens_go_to_the_next_owner_and_no_further(table):
    table.apply(record("claim", OLD, expects=None), 0, 0.0)
    table.apply(record("release", OLD, claim=0, balances={"t": 5.0}), 1, 1.0)
    assert not table.apply(record("confirm", OLD, claim=0), 2, 1.1)
    table.apply(record("claim", NEW, expects=0), 3, 2.0)
    assert table.states["a/0"].balances == {"t": 5.0}
    assert table.states["a/0"].succession is Succession.RELEASED
    table.apply(record("claim", OLD, expects=3), 4, 3.0)
    assert table.states["a/0"].balances == {}
    assert table.states["a/0"].succession is Succession.TAKEN_OVER


def test_a_reader_that_missed_the_beginning_relies_on_confirmations(table):
    table.note_gap()
    # The log still has the rejected one of two claims; the accepted one has expired.
    assert not table.apply(record("claim", OLD, expects=None), 7, 100.0)
    table.note_caught_up()
    assert not table.claimable("a/0", 101.0)
    assert table.apply(record("confirm", NEW, claim=6), 9, 102.0)
    # Late confirmation by an earlier owner.
    assert not table.apply(record("confirm", OLD, claim=3), 10, 103.0)
    assert table.states["a/0"].owner == NEW
    assert table.expected_claim("a/0", 104.0) == 6


def test_a_slot_with_an_undecidable_claim_can_be_claimed_once_that_expires(table):
    table.note_gap()
    table.apply(record("claim", OLD, expects=3), 7, 100.0)
    table.note_caught_up()
    assert not table.claimable("a/0", 199.0)
    assert table.claimable("a/0", 200.0)


def test_an_owner_whose_records_have_expired_can_be_replaced(table):
    table.apply(record("claim", OLD, expects=None), 0, 0.0)
    assert not table.apply(record("claim", NEW, expects=None), 1, 99.0)
    assert table.apply(record("claim", NEW, expects=None), 2, 100.0)
    assert table.states["a/0"].succession is Succession.TAKEN_OVER


def test_a_malformed_record_is_ignored(table):
    assert not table.apply({"type": "slot-claim", "slot": 3}, 0, 0.0)
    assert not table.apply(record("confirm", OLD), 1, 0.0)


def test_owners_before_an_unconfirmed_claim_remain_predecessors(table):
    later = SlotOwner("e2", "b3")
    table.apply(record("claim", OLD, expects=None), 0, 0.0)
    table.apply(record("confirm", OLD, claim=0), 1, 0.1)
    table.apply(record("claim", NEW, expects=0), 2, 10.0)
    table.apply(record("claim", later, expects=2), 3, 11.0)
    assert table.states["a/0"].predecessors == (OLD, NEW)
    table.apply(record("confirm", later, claim=3), 4, 20.0)
    assert table.states["a/0"].predecessors == ()
