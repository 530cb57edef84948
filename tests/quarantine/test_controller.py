import types

import pytest

from skylarkpost.log import Appended, AppendRefused
from skylarkpost.metrics import Metrics
from skylarkpost.quarantine import Crash, CrashReport, Quarantined
from skylarkpost.quarantine import controller as module
from skylarkpost.quarantine.controller import QuarantineController


class FakeLog:
    def __init__(self, outcomes):
        self.outcomes = outcomes
        self.records = []

    def subscribe(self, record_type, handler):
        self.handler = handler

    async def append(self, record):
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Appended):
            self.records.append(record)
        return outcome


class FakeMembership:
    def __init__(self):
        self.published = {}
        self.subscribers = {}

    def publish(self, topic, payload):
        self.published[topic] = payload

    def subscribe(self, topic, callback):
        self.subscribers[topic] = callback

    def reachable(self, now):
        return []


def build(outcomes):
    settings = types.SimpleNamespace(
        quarantine=types.SimpleNamespace(suspect_life=600.0, quarantine_life=900.0)
    )
    services = types.SimpleNamespace(
        settings=settings,
        instance="entry-1",
        clock=lambda: 100.0,
        wall_clock=lambda: 5000.0,
        metrics=Metrics(),
        state_log=FakeLog(outcomes),
        controllers={"membership": FakeMembership()},
    )
    return QuarantineController(services=services)


async def crash_twice(controller):
    for number in range(2):
        crash = Crash(f"plan-{number}", "b")
        await controller.handle_report(CrashReport(crash, ("bad",), (), 0.0))
    while controller.tasks:
        await next(iter(controller.tasks))


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(module, "FIRST_RETRY_S", 0.0)


async def test_a_quarantine_is_logged_after_an_outage():
    refused = AppendRefused(detail="down")
    controller = build([refused, refused, Appended(first_offset=3)])
    await controller.start()
    await crash_twice(controller)
    records = controller.services.state_log.records
    assert [record["fingerprint"] for record in records] == ["bad"]


async def test_an_instance_that_starts_during_a_log_outage_learns_quarantines_from_a_peer():
    old, new = build([Appended(first_offset=0)]), build([])
    for controller in (old, new):
        await controller.start()
    await crash_twice(old)
    payload = old.services.controllers["membership"].published["quarantine"]
    new.services.controllers["membership"].subscribers["quarantine"](
        None, payload, 100.0
    )
    assert new.verdict("bad", now=100.0) == Quarantined(seconds_left=900.0)


async def test_a_log_record_applies_for_its_remaining_duration():
    controller = build([])
    await controller.start()
    record = {"fingerprint": "bad", "seconds": 900.0}
    controller.services.state_log.handler(record, 0, 4500.0, 100.0)
    assert controller.verdict("bad", now=100.0) == Quarantined(seconds_left=400.0)
