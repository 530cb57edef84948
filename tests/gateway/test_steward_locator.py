"""Reachable stewards, kept between changes of the members' states."""

from skylarkpost.gateway.steward_locator import StewardLocator
from skylarkpost.membership import Member, MemberState
from skylarkpost.stewardship.leases import LeasePolicy, LeaseRecord, LeaseTable

TARGETS = {"t1": None, "t2": None, "t3": None}


class Members:
    def __init__(self):
        self.states = {"i1": MemberState.LIVE, "i2": MemberState.LIVE}
        self.lookups = 0

    def find(self, instance, now):
        self.lookups += 1
        state = self.states.get(instance)
        if state is None:
            return None
        return Member(instance, "boot", f"{instance}:1", "yaba", state, now)


def locator():
    table = LeaseTable(own="i0", policy=LeasePolicy())
    table.apply("t1", LeaseRecord(holder="i1"), 1, 0.0)
    table.apply("t2", LeaseRecord(holder="i2"), 2, 0.0)
    members = Members()
    return members, StewardLocator(table=table, find_member=members.find)


def test_a_target_without_lease_or_with_a_silent_holder_has_no_steward():
    members, stewards = locator()
    members.states["i2"] = MemberState.SILENT
    assert stewards.without_steward(TARGETS, 0.0) == {"t2", "t3"}
    assert stewards.find("t1", 0.0).address == "i1:1"
    assert stewards.find("t2", 0.0) is None


def test_members_are_looked_up_again_only_after_a_change_of_states_is_due():
    members, stewards = locator()
    stewards.without_steward(TARGETS, 0.0)
    before = members.lookups
    for _ in range(20):
        stewards.without_steward(TARGETS, 0.05)
    assert members.lookups == before
    members.states["i1"] = MemberState.SILENT
    assert stewards.without_steward(TARGETS, 0.2) == {"t1", "t3"}


def test_an_unresponsive_steward_is_avoided_at_once_and_only_for_a_while():
    _, stewards = locator()
    assert stewards.without_steward(TARGETS, 0.0) == {"t3"}
    stewards.note_unresponsive(stewards.find("t1", 0.0), 0.01)
    assert stewards.without_steward(TARGETS, 0.01) == {"t1", "t3"}
    assert stewards.without_steward(TARGETS, 2.0) == {"t3"}
