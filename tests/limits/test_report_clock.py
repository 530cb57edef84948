"""Tests of the times of reports."""

import random

import pytest

from skylarkpost.limits.report_clock import ReportClock


def test_a_delayed_report_is_as_old_as_it_is():
    rng = random.Random(1)
    clock = ReportClock()
    for number in range(200):
        made_at = 0.4 * number
        delay = rng.choice((0.002, 0.5, 1.3))
        found = clock.convert("i-1", "b-1", made_at - 700.0, made_at + delay)
        if number > 20:
            assert found == pytest.approx(made_at, abs=0.01)


def test_a_restart_begins_with_another_clock():
    clock = ReportClock()
    clock.convert("i-1", "b-1", 900.0, 10.0)
    assert clock.is_restarted("i-1", "b-2")
    assert clock.convert("i-1", "b-2", 5.0, 11.0) == 11.0
    assert not clock.is_restarted("i-1", "b-2")


def test_instances_that_are_gone_are_forgotten():
    clock = ReportClock()
    clock.convert("i-1", "b-1", 900.0, 10.0)
    clock.convert("i-2", "b-1", 900.0, 10.0)
    clock.retain({"i-2"})
    assert list(clock.offsets) == ["i-2"]
