"""Short runs of the soak, over real processes; each plan failed once."""

import pytest

from lab.soak.plan import Fault, SoakShape
from lab.soak.run import soak

# What was seen, and the faults of the seed that showed it.
FAILED_ONCE = {
    # Seed 3: a load whose answer was lost left its slot counted as free, and one
    # more load overloaded the engine.
    "lost-answers-of-orders": [
        Fault(0.5, "target-link-slow", 1, 6.0),
        Fault(1.59, "target-answers-lost", 3, 2.5),
        Fault(4.88, "store-link-silent", 0, 1.0),
        Fault(5.21, "store-silent", 0, 2.5),
        Fault(7.84, "instance-restarted", 1, 0.3),
    ],
    # Seed 5: a reload that came while the parts were imported ended the process.
    "reload-during-start": [
        Fault(0.3, "callers-silent", 2, 0.3),
        Fault(1.0, "instance-killed", 2, 0.3),
        Fault(1.1, "instance-reloaded", 2, 2.5),
        Fault(2.0, "store-deaf", 0, 1.0),
    ],
}


@pytest.mark.parametrize("name", FAILED_ONCE)
async def test_what_failed_once_holds(name, tmp_path):
    result = await soak(3, tmp_path, plan=FAILED_ONCE[name])
    assert result.violations == []
    assert sum(result.answers.values()) > SoakShape().callers


async def test_a_short_seeded_run_holds(tmp_path):
    result = await soak(1, tmp_path, SoakShape(instances=2, seconds=4.0))
    assert result.violations == []
