"""Tickets of an engine that names a limit."""

import math

from skylarkpost.stewardship.request_pace import RequestPace


def test_without_a_limit_everything_may_start():
    pace = RequestPace(window=4.0)
    pace.take(0.0)
    assert pace.free(0.0) == math.inf
    assert pace.interval == 0.0


def test_no_window_holds_more_than_is_allowed():
    pace = RequestPace(window=4.0)
    pace.set_limit(2.0, allowed=12.0, now=0.0)
    granted, now = [], 0.0
    while now < 40.0:
        while pace.free(now) > 0:
            pace.take(now)
            granted.append(now)
        now += 0.1
    assert max(sum(at <= each < at + 4.0 for each in granted) for at in granted) <= 12
    assert len(granted) >= 0.8 * 12 * 9


def test_a_new_steward_assumes_that_the_last_window_was_used_up():
    pace = RequestPace(window=4.0)
    pace.set_limit(2.0, allowed=12.0, now=0.0)
    assert pace.free(0.0) == 0
    assert pace.free(4.0) == 12


def test_a_limit_that_changes_keeps_what_was_granted():
    pace = RequestPace(window=4.0)
    pace.set_limit(2.0, allowed=12.0, now=0.0)
    for _ in range(10):
        pace.take(5.0)
    pace.set_limit(1.0, allowed=8.0, now=6.0)
    assert pace.free(6.0) == 0
    pace.set_limit(None, allowed=math.inf, now=7.0)
    assert pace.free(7.0) == math.inf


def test_a_target_that_accepts_nothing_is_waited_for_one_window():
    pace = RequestPace(window=4.0)
    pace.set_limit(0.0, allowed=0.0, now=0.0)
    assert pace.free(100.0) == 0
    assert pace.interval == 4.0
