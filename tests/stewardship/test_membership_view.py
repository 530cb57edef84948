from types import SimpleNamespace

import pytest

from skylarkpost.membership import Member, MemberState
from skylarkpost.stewardship import Authority, TargetSummary
from skylarkpost.stewardship.directory import StewardDirectory
from skylarkpost.stewardship.membership_view import MembershipView
from skylarkpost.stewardship.table import StewardshipTable, claim_record
from tests.stewardship.fakes import FakeTarget


def member(name, *, state=MemberState.LIVE, last_received=0.0, data_centre="dc-1"):
    return Member(name, "b", "127.0.0.1:9", data_centre, state, last_received)


class Setup:
    def __init__(self, *members, holder_data_centre="dc-1"):
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
            data_centre=holder_data_centre,
            full_powers=True,
        )
        self.table.apply(record, 5, 0.0)

    def lose_log(self):
        self.services.state_log.available = False

    def refresh_authority(self, now):
        self.now = now
        self.view.confirm_authority(now)
        return self.authority.is_valid(now)


def test_without_the_log_a_dead_neighbour_does_not_end_authority():
    dead = member("i-2", state=MemberState.SILENT)
    setup = Setup(member("i-1"), dead, member("i-3", last_received=19.0))
    assert setup.refresh_authority(1.0)
    setup.lose_log()
    assert setup.refresh_authority(20.0)
    setup.authority.note_resumed(20.5)
    assert not setup.refresh_authority(21.0)


def test_a_live_neighbour_without_messages_ends_authority():
    setup = Setup(member("i-1"), member("i-3", last_received=1.0))
    setup.lose_log()
    assert setup.refresh_authority(2.0)
    assert not setup.refresh_authority(6.0)


@pytest.mark.parametrize("steward_data_centre", ["dc-1", "dc-2"])
def test_requests_bypass_the_steward_only_when_none_can_act(steward_data_centre):
    setup = Setup(
        member("i-1"),
        member("i-2", last_received=4.0),
        holder_data_centre=steward_data_centre,
    )
    target = FakeTarget(data_centre="dc-1")
    setup.refresh_authority(4.0)
    assert setup.view.number_without_steward(target) is None
    setup.lose_log()
    setup.now = 14.0
    assert setup.view.number_without_steward(target) is None
    setup.now = 15.5
    number = setup.view.number_without_steward(target)
    assert number == (5 if steward_data_centre == "dc-1" else None)


def summary(steward, number, *, full=True):
    return TargetSummary(
        "engine-1", steward, number, full, "b", True, 1, 4, 0, (0,) * 10,
        2.0, 0.5, 0, 0.0, 0.0, frozenset(),
    )  # fmt: skip


def test_the_directory_learns_newer_stewards_from_their_summaries():
    setup = Setup()
    directory = StewardDirectory(table=setup.table)
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
