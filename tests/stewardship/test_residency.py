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
    assert made.apply_report(report("b1", 2.5, "a@1"), now=2.5).failed_loads == ()
    made.set_state("b@1", AdapterState.LOADING, now=3.0)
    waiting = report("b1", 3.5, "a@1", loading=["b@1"])
    assert made.apply_report(waiting, now=3.5).failed_loads == ()
    assert made.apply_report(report("b1", 4.0, "a@1"), now=4.0).failed_loads == ("b@1",)


def test_a_load_that_another_order_overtook_takes_its_slot_with_the_next_report():
    # Seed 3 of the soak: the answer was lost, the repeated order was refused for
    # its count, and the report that told the count was taken for too old to tell
    # of the adapter: one more load overloaded the engine.
    made = Residency(slots=2, report_lag=0.4)
    made.apply_report(report("b1", 1.0, "a@1"), now=1.0)
    made.set_state("b@1", AdapterState.LOADING, now=2.0, pending=True)
    made.withdraw_load("b@1")
    assert made.free_slots() == 1
    made.apply_report(report("b1", 2.1, "a@1", "b@1"), now=2.1)
    assert made.free_slots() == 0


def test_a_load_on_its_way_that_was_not_ordered_here_takes_a_slot():
    made = residency()
    made.apply_report(report("b1", 2.0, "a@1", loading=["b@1"]), now=2.0)
    assert made.free_slots() == 0
    assert made.has_foreign_loads()
    assert made.usable() == ["a@1"]
    change = made.apply_report(report("b1", 3.0, "a@1", "b@1"), now=3.0)
    assert change.gained == ("b@1",)
    assert not made.has_foreign_loads()


def test_an_old_report_of_a_load_does_not_bring_back_what_was_unloaded():
    made = Residency(slots=2, report_lag=0.4)
    made.apply_report(report("b1", 1.0, "a@1"), now=1.0)
    made.set_state("a@1", None, now=2.0)
    made.apply_report(report("b1", 2.1, loading=["a@1"]), now=2.1)
    assert made.free_slots() == 2
