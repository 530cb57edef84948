"""The limit of a team over a whole fleet, under random faults."""

import pytest

from skylarkpost.limits import TeamLimit
from tests.limits.fleet import INSTANCES, Fleet

LIMIT = TeamLimit(200.0, 1000.0)
FAULTS = (
    "pause",
    "restart",
    "restarts in a row",
    "cut",
    "platform cut",
    "log outage",
    "loss",
    "late",
    "leave",
    "limit change",
)
RUN_S = 200


@pytest.mark.parametrize("seed", range(24))
def test_a_team_at_five_times_its_rate_never_gets_more_than_its_limit(seed):
    faults = FAULTS[seed % 3 :: 1 + seed % 3]
    fleet = Fleet(
        seed=seed,
        limits={"large": LIMIT},
        retention=60.0,
        faults=faults,
        fault_interval=(8, 20, 45)[seed // 8],
    )
    fleet.traffic(
        "large",
        names=lambda now: sorted(INSTANCES),
        interval=0.2,
        tokens=(5, 400),
        seconds=RUN_S,
    )
    fleet.run(RUN_S + 5)
    assert fleet.admitted["large"]
    assert set(fleet.faults) == set(faults)
    fleet.check("large", LIMIT)


def moving_instance(now):
    return [sorted(INSTANCES)[int(now / 7) % 4]]


@pytest.mark.parametrize(
    "names",
    [lambda now: ["e1"], lambda now: sorted(INSTANCES), moving_instance],
    ids=["one", "all", "shifting"],
)
def test_a_team_within_its_rate_is_refused_nothing(names):
    fleet = Fleet(seed=5, limits={"small": LIMIT})
    fleet.run(3)
    # 195 tokens a second on average, in requests of up to 390.
    fleet.traffic("small", names=names, interval=1.0, tokens=(0, 390), seconds=300)
    fleet.run(305)
    assert len(fleet.admitted["small"]) == 300
    assert fleet.refused["small"] == []


def test_an_owner_that_wakes_up_after_a_takeover_charges_nothing_unread():
    fleet = Fleet(seed=6, limits={"team": LIMIT})
    fleet.run(3)
    node = fleet.nodes["e1"]
    owned = set(node.slot_manager.active_slots())
    assert owned
    node.paused_until = fleet.now + 30
    fleet.run(29)
    assert owned <= set(fleet.nodes["e2"].slot_manager.active_slots())
    # The log is unreachable when the former owner resumes, and no pool holds its
    # shares.
    fleet.log_down_until = fleet.now + 10
    fleet.cuts["a"] = fleet.now + 10
    fleet.run(1.02)
    node.core.lender.advance(fleet.now)
    assert node.core.draw_local("team", 1, now=fleet.now) is None
    assert not node.slot_manager.may_use(fleet.now)


def test_a_dead_holder_costs_refusals_until_its_leases_have_ended():
    fleet = Fleet(seed=7, limits={"team": LIMIT})
    fleet.run(5)
    holder = fleet.nodes["e1"].core.holder_of("team", sorted(INSTANCES))
    others = [name for name in sorted(INSTANCES) if name != holder]
    fleet.traffic(
        "team", names=lambda now: others, interval=0.5, tokens=(30, 60), seconds=60
    )
    fleet.run(10)
    assert fleet.refused["team"] == []
    killed_at = fleet.now
    fleet.nodes[holder].dead = True
    fleet.run(50)
    assert max(at for at, _ in fleet.refused["team"]) < killed_at + 5


def test_a_slot_is_lost_as_soon_as_the_claim_on_it_is_read():
    fleet = Fleet(seed=9, limits={"team": LIMIT})
    fleet.run(5)
    node = fleet.nodes["e4"]
    record = {"type": "slot-claim", "slot": "c/0", "instance": "e5", "boot": "boot99"}
    record["expects"] = node.table.states["c/0"].claim
    assert node.table.apply(record, len(fleet.log), fleet.now)
    assert node.core.draw_local("team", 0, now=fleet.now) is not None
    assert node.core.lender.slots == {}


def test_the_slots_of_a_data_centre_are_spread_over_its_instances():
    fleet = Fleet(seed=8, limits={"team": LIMIT})
    fleet.run(5)
    owned = [len(fleet.nodes[name].slot_manager.active_slots()) for name in INSTANCES]
    assert owned == [1, 1, 1, 1]
