"""Short soak runs over real processes, with plans that once broke a promise."""

import pytest

from lab.soak.plan import Fault, SoakShape
from lab.soak.run import soak

# Fault plans of the seeds that showed each failure.
REGRESSION_PLANS = {
    # Seed 3: after a load whose answer was lost, its slot was counted as free, and
    # another load overloaded the engine.
    "lost-answers-of-orders": [
        Fault(0.5, "target-link-slow", 1, 6.0),
        Fault(1.59, "target-answers-lost", 3, 2.5),
        Fault(4.88, "store-link-silent", 0, 1.0),
        Fault(5.21, "store-silent", 0, 2.5),
        Fault(7.84, "instance-restarted", 1, 0.3),
    ],
    # Seed 5: a reload signal during the imports at startup ended the process.
    "reload-during-start": [
        Fault(0.3, "callers-silent", 2, 0.3),
        Fault(1.0, "instance-killed", 2, 0.3),
        Fault(1.1, "instance-reloaded", 2, 2.5),
        Fault(2.0, "store-deaf", 0, 1.0),
    ],
}

# Plans for what random ones combine only at times.
DIRECTED_PLANS = {
    "restores-in-series": [
        Fault(0.5, "store-restored", 0, 2.5),
        Fault(1.0, "instance-killed", 1, 0.3),
        Fault(2.0, "target-reborn", 0, 0.3),
        Fault(5.5, "store-restored", 0, 1.0),
        Fault(6.0, "instance-restarted", 0, 0.3),
        Fault(7.0, "store-restored", 0, 0.3),
    ],
    "targets-that-leave-and-pause": [
        Fault(0.5, "target-leaving", 0, 6.0),
        Fault(0.7, "target-pausing", 3, 2.5),
        Fault(3.0, "target-pausing", 1, 2.5),
        Fault(4.0, "target-leaving", 2, 6.0),
        Fault(7.0, "all-targets-pausing", 0, 1.0),
    ],
}


@pytest.mark.parametrize("name", DIRECTED_PLANS)
async def test_a_directed_plan_holds(name, tmp_path):
    result = await soak(4, tmp_path, plan=DIRECTED_PLANS[name])
    assert result.violations == []
    assert sum(result.answers.values()) > SoakShape().callers


@pytest.mark.parametrize("name", REGRESSION_PLANS)
async def test_what_failed_once_holds(name, tmp_path):
    result = await soak(3, tmp_path, plan=REGRESSION_PLANS[name])
    assert result.violations == []
    assert sum(result.answers.values()) > SoakShape().callers


async def test_a_short_seeded_run_holds(tmp_path):
    result = await soak(1, tmp_path, SoakShape(instances=2, seconds=4.0))
    assert result.violations == []
