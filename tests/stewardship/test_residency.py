from skylarkpost.stewardship import AdapterLoad, LoadReport
from skylarkpost.stewardship.residency import AdapterState, Residency


def report(boot, taken_at, *names, loading=()):
    resident = {name: AdapterLoad(0, 0) for name in names}
    return LoadReport(boot, taken_at, 2, resident, frozenset(loading), 0, 0, 4)


def residency():
    made = Residency(slots=2, report_lag=0.0)
    made.apply_report(report("b1", 1.0, "a@1"), now=1.0)
    return made


def test_a_late_report_of_an_earlier_boot_is_passed_over():
    made = residency()
    assert made.apply_report(report("b2", 0.5), now=5.0).restarted
    assert made.apply_report(report("b1", 9.0, "a@1"), now=9.0) is None
    assert (made.boot, made.usable()) == ("b2", [])


def test_reports_from_before_an_order_decide_nothing_about_its_adapter():
    made = residency()
    made.set_state("b@1", AdapterState.RESIDENT, now=3.0)
    made.set_state("a@1", None, now=3.0)
    assert made.apply_report(report("b1", 2.0, "a@1"), now=3.5).gained == ()
    assert made.usable() == ["b@1"]
    change = made.apply_report(report("b1", 4.0, "a@1"), now=4.0)
    assert (change.gained, change.lost) == (("a@1",), ("b@1",))


def test_a_load_of_unknown_end_is_settled_by_a_later_report():
    made = residency()
    made.set_state("b@1", AdapterState.LOADING, now=2.0, pending=True)
    assert made.apply_report(report("b1", 2.5, "a@1"), now=2.5).failed == ()
    made.set_state("b@1", AdapterState.LOADING, now=3.0)
    waiting = report("b1", 3.5, "a@1", loading=["b@1"])
    assert made.apply_report(waiting, now=3.5).failed == ()
    assert made.apply_report(report("b1", 4.0, "a@1"), now=4.0).failed == ("b@1",)
