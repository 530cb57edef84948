"""Limits of a replayed fleet."""

from types import SimpleNamespace

from lab.limiting import Limits
from skylarkpost.limits.commands import RequestYield
from skylarkpost.limits.slots import SlotOwner


def test_a_yielded_slot_is_recorded_with_its_former_owner():
    former = SlotOwner("entry-1", "boot-1")
    calls = []
    slots = SimpleNamespace(
        yield_slot=lambda slot, claim: calls.append(("yield", slot, claim)),
        note_yielded=lambda slot, owner, now: calls.append((slot, owner, now)),
    )
    claimant = SimpleNamespace(
        instance=SimpleNamespace(data_centre="yaba"), slot_manager=slots
    )
    limits = SimpleNamespace(
        running={"entry-1": SimpleNamespace(owner=former, slot_manager=slots)},
        replay=SimpleNamespace(now=3.0),
    )
    Limits._carry_out(
        limits, claimant, RequestYield(owner=former, slot="yaba/1", claim=7)
    )
    assert calls == [("yield", "yaba/1", 7), ("yaba/1", former, 3.0)]
