import pytest

from lab.slope_cases import measure_request_messages, measure_summaries
from lab.slope_registry import Case, cases
from lab.slopes import measure_slope


def test_fit_recovers_an_exact_line():
    case = Case("test", "us", "item", (1, 2, 4), lambda size: 3.0 * size + 5.0)
    slope = measure_slope(case)
    assert slope.slope == pytest.approx(3.0)
    assert slope.constant == pytest.approx(5.0)
    assert slope.fit == pytest.approx(1.0)
    assert slope.spread == 0.0


@pytest.mark.parametrize("name", ["draw", "ticket", "rank", "idle steward"])
def test_cases_run_at_their_smallest_size(name):
    assert cases[name].measure(cases[name].sizes[0]) >= 0


def test_message_bytes_grow_with_size():
    assert measure_summaries(6) > measure_summaries(1)
    assert measure_request_messages(10) == 10 * measure_request_messages(1)
