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


def shifting(now):
    return [sorted(INSTANCES)[int(now / 7) % 4]]


@pytest.mark.parametrize(
    "names",
    [lambda now: ["e1"], lambda now: sorted(INSTANCES), shifting],
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
