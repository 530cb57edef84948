import pytest

from tests.stewardship.fakes import FakeTarget
from tests.stewardship.fleet import Fleet

FAULTS = ("kill", "pause", "cut", "log_outage", "restart", "late_orders", "failed_load")
SECONDS = 400.0


@pytest.mark.parametrize("fencing", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_no_adapter_in_use_is_evicted_under_all_faults_together(seed, fencing):
    fleet = Fleet(FakeTarget(fencing=fencing), seed, faults=FAULTS)
    fleet.run(SECONDS)
    assert fleet.engine.evicted_in_use == 0
    assert fleet.engine.wrong_adapter == 0
    assert fleet.counts["run"] > 30
    assert all(fleet.counts[fault] > 0 for fault in FAULTS), fleet.counts


def test_without_faults_nearly_all_requests_run():
    fleet = Fleet(FakeTarget(slots=6, batch_limit=32), 1, faults=())
    fleet.run(120.0)
    assert fleet.engine.evicted_in_use == 0
    assert fleet.counts["run"] > 0.95 * fleet.counts["asked"] > 100
    assert fleet.counts["refused"] < 0.05 * fleet.counts["run"]
