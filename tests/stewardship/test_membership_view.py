from types import SimpleNamespace

import pytest

from skylarkpost.membership import Member, MemberState
from skylarkpost.stewardship import Authority, TargetSummary
from skylarkpost.stewardship.directory import StewardDirectory
from skylarkpost.stewardship.membership_view import MembershipView
from skylarkpost.stewardship.table import StewardshipTable, claim_record
from tests.stewardship.fakes import FakeTarget


def member(name, *, state=MemberState.LIVE, heard=0.0, place="dc-1"):
    return Member(name, "b", "127.0.0.1:9", place, state, heard)


class Rig:
    def __init__(self, *members, holder_place="dc-1"):
        self.now = 0.0
        membership = SimpleNamespace(
            members=lambda now: list(members), last_resumed_at=None
        )
        self.services = SimpleNamespace(
            clock=lambda: self.now,
            instance="i-1",
            data_centre="dc-1",
            draining=False,
            state_log=SimpleNamespace(available=True, fresh_at=0.0),
            controllers={"membership": membership},
        )
        self.table = StewardshipTable()
        self.authority = Authority(lease=3.0, settle=8.0, gap=1000.0)
        self.view = MembershipView(
            services=self.services,
            table=self.table,
            authority=self.authority,
            order_timeout=11.0,
        )
        record = claim_record(
            target="engine-1",
            instance="i-2",
            boot="b",
            data_centre=holder_place,
            full_powers=True,
        )
        self.table.apply(record, 5, 0.0)

    def lose_log(self):
        self.services.state_log.available = False

    def confirmed(self, now):
        self.now = now
        self.view.confirm_authority(now)
        return self.authority.is_valid(now)


def test_without_the_log_the_authority_goes_on_past_a_dead_neighbour():
    dead = member("i-2", state=MemberState.SILENT)
    rig = Rig(member("i-1"), dead, member("i-3", heard=19.0))
    assert rig.confirmed(1.0)
    rig.lose_log()
    assert rig.confirmed(20.0)
    rig.authority.note_resumed(20.5)
    assert not rig.confirmed(21.0)


def test_a_neighbour_that_is_live_but_not_heard_ends_the_authority():
    rig = Rig(member("i-1"), member("i-3", heard=1.0))
    rig.lose_log()
    assert rig.confirmed(2.0)
    assert not rig.confirmed(6.0)


@pytest.mark.parametrize("place", ["dc-1", "dc-2"])
def test_requests_go_alone_only_when_no_steward_can_act(place):
    rig = Rig(member("i-1"), member("i-2", heard=4.0), holder_place=place)
    target = FakeTarget(data_centre="dc-1")
    rig.confirmed(4.0)
    assert rig.view.number_without_steward(target) is None
    rig.lose_log()
    rig.now = 14.0
    assert rig.view.number_without_steward(target) is None
    rig.now = 15.5
    number = rig.view.number_without_steward(target)
    assert number == (5 if place == "dc-1" else None)


def summary(steward, number, *, full=True):
    return TargetSummary(
        "engine-1", steward, number, full, "b", True, 1, 4, 0, (0,) * 10,
        2.0, 0.5, 0, 0.0, 0.0, frozenset(),
    )  # fmt: skip


def test_the_directory_knows_newer_stewards_from_what_they_say():
    rig = Rig()
    directory = StewardDirectory(table=rig.table)
    members = {name: member(name) for name in ("i-2", "i-3", "i-4")}
    assert directory.steward("engine-1", members).instance == "i-2"
    directory.note_summary(summary("i-3", 4))
    assert directory.steward("engine-1", members).instance == "i-2"
    directory.note_summary(summary("i-3", 9))
    assert directory.steward("engine-1", members).number == 9
    directory.note_summary(summary("i-4", 12, full=False))
    assert directory.steward("engine-1", members).instance == "i-3"
    del members["i-3"]
    assert directory.steward("engine-1", members).instance == "i-4"
    assert directory.steward("engine-2", members) is None
