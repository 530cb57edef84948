from skylarkpost.stewardship.report_clock import ReportClock


def test_report_is_dated_by_the_maximum_lag_without_an_uptime():
    clock = ReportClock(report_lag=1.0)
    assert clock.taken_no_earlier_than(10.0, received_at=110.5) == 109.5
    assert clock.taken_no_earlier_than(20.0, received_at=120.2) == 119.2
    assert clock.taken_no_earlier_than(20.0, received_at=150.0) == 119.2


def test_report_of_any_age_is_dated_by_the_uptime():
    clock = ReportClock(report_lag=1.0)
    clock.taken_no_earlier_than(10.0, received_at=117.0)
    clock.note_uptime(18.0, requested_at=118.0)
    assert clock.taken_no_earlier_than(12.0, received_at=119.0) == 112.0
