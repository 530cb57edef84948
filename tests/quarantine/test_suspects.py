import random

from skylarkpost.quarantine import (
    Clear,
    Crash,
    CrashReport,
    Quarantined,
    Suspected,
    SuspectTracker,
    fingerprint_request,
)

FIRST = Crash("plan-1", "boot-a")
SECOND = Crash("plan-2", "boot-b")


def make_tracker(**changes):
    options = {"suspect_life": 600.0, "quarantine_life": 900.0, "limit": 100}
    return SuspectTracker(**{**options, **changes})


def report(crash, *fingerprints, cleared=(), age=0.0):
    return CrashReport(crash, fingerprints, tuple(cleared), age)


def test_two_crashes_quarantine_a_request_and_one_does_not():
    tracker = make_tracker()
    assert tracker.add_report(report(FIRST, "bad", "innocent"), now=0.0) == []
    assert tracker.verdict("innocent", now=1.0) == Suspected(crash=FIRST)
    assert tracker.add_report(report(SECOND, "bad"), now=2.0) == ["bad"]
    assert tracker.verdict("bad", now=2.0) == Quarantined(seconds_left=900.0)
    assert tracker.verdict("innocent", now=2.0) == Suspected(crash=FIRST)


def test_one_crash_seen_by_many_instances_counts_once():
    tracker = make_tracker()
    for _ in range(4):
        assert tracker.add_report(report(FIRST, "bad"), now=0.0) == []
    assert tracker.verdict("bad", now=0.0) == Suspected(crash=FIRST)


def test_an_answered_suspect_stays_cleared_despite_late_reports():
    tracker = make_tracker()
    tracker.add_report(report(FIRST, "innocent"), now=0.0)
    assert tracker.note_answered("innocent", now=1.0) == [FIRST]
    tracker.add_report(report(FIRST, "innocent"), now=2.0)
    assert tracker.verdict("innocent", now=2.0) == Clear()
    tracker.add_report(report(SECOND, "innocent"), now=3.0)
    assert tracker.verdict("innocent", now=3.0) == Suspected(crash=SECOND)


def test_an_answer_does_not_end_a_quarantine():
    tracker = make_tracker()
    tracker.add_report(report(FIRST, "bad"), now=0.0)
    tracker.add_report(report(SECOND, "bad"), now=0.0)
    assert tracker.note_answered("bad", now=1.0) == []
    assert isinstance(tracker.verdict("bad", now=1.0), Quarantined)


def test_suspicion_and_quarantine_expire():
    tracker = make_tracker()
    tracker.add_report(report(FIRST, "one", "two", age=500.0), now=0.0)
    tracker.quarantine("two", seconds=50.0, now=0.0)
    assert tracker.verdict("one", now=101.0) == Clear()
    assert tracker.verdict("two", now=101.0) == Clear()


def test_the_table_is_bounded_and_retains_quarantines():
    tracker = make_tracker(limit=10)
    tracker.quarantine("bad", seconds=10.0, now=0.0)
    for number in range(50):
        tracker.add_report(report(FIRST, f"f{number}"), now=0.0)
    assert len(tracker.records) == 10
    assert isinstance(tracker.verdict("bad", now=1.0), Quarantined)


def test_the_order_of_reports_does_not_change_the_verdicts():
    reports = [
        report(FIRST, "bad", "x", "y"),
        report(FIRST, "z", "bad"),
        report(FIRST, cleared=["x", "z"]),
        report(SECOND, "bad", "y"),
        report(SECOND, cleared=["w"]),
    ]
    verdicts = set()
    for seed in range(40):
        order = reports * 2
        random.Random(seed).shuffle(order)
        tracker = make_tracker()
        for item in order:
            tracker.add_report(item, now=0.0)
        found = tuple(str(tracker.verdict(f, now=0.0)) for f in ("bad", "x", "y", "z"))
        verdicts.add(found)
    assert len(verdicts) == 1
    bad, x, y, z = verdicts.pop()
    assert bad.startswith("Quarantined") and y.startswith("Quarantined")
    assert x == z == "Clear()"


def test_the_fingerprint_ignores_streaming_and_caller():
    content = {"model": "plan", "prompt": "p", "stream": True}
    again = {"prompt": "p", "model": "plan", "stream": False, "user": "u"}
    other = {**content, "prompt": "q"}
    hashes = [
        fingerprint_request(subject="a@1", content=item, body=b"")
        for item in (content, again, other)
    ]
    assert hashes[0] == hashes[1] != hashes[2]
