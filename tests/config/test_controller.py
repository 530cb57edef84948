import random
import types

import pytest

from skylarkpost.config.controller import ConfigController
from skylarkpost.metrics import Metrics
from skylarkpost.platform import Appended, LogRecord, LogUnavailable, Records


class FakeLog:
    """The platform's log in memory, with a first kept offset and an outage."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.down = False

    async def append(self, stream, records):
        first = len(self.records)
        for number, data in enumerate(records):
            self.records.append(LogRecord(first + number, 0.0, data))
        return Appended(first_offset=first)

    async def read(self, stream, *, from_offset, limit=500, wait=0.0):
        if self.down:
            return LogUnavailable(detail="down")
        start = max(from_offset, self.first_offset)
        return Records(
            first_offset=self.first_offset,
            next_offset=len(self.records),
            records=self.records[start : start + limit],
        )

    def publish(self, name, body, *, expected=None):
        record = {
            "type": "change",
            "change_id": f"c{len(self.records)}",
            "author": "op",
            "reason": "",
            "kind": "team",
            "name": name,
            "expected_version": expected,
            "body": body,
            "made_at": 0.0,
        }
        self.records.append(LogRecord(len(self.records), 0.0, record))


@pytest.fixture
def log():
    return FakeLog()


def make_controller(log):
    services = types.SimpleNamespace(
        log=log,
        clock=lambda: 0.0,
        wall_clock=lambda: 0.0,
        random=random.Random(1),
        metrics=Metrics(),
        exchanges={},
        controllers={},
        instance="entry-1",
        data_centre="windhoek-a",
        settings=types.SimpleNamespace(
            platform=types.SimpleNamespace(log_retention=100.0)
        ),
    )
    return ConfigController(services=services)


async def read_to_end(controller):
    await controller.follower.read_once()
    await controller.tick()


async def test_it_is_ready_when_the_log_was_read_to_its_end(log):
    controller = make_controller(log)
    log.down = True
    await read_to_end(controller)
    assert not controller.is_ready()
    assert controller.degraded()
    log.down = False
    log.publish("depot", {"rate": 10.0, "burst": 100.0})
    await read_to_end(controller)
    assert controller.is_ready()
    assert controller.store.team("depot").rate == 10.0
    assert controller.degraded() == []


async def test_after_a_gap_the_store_is_rebuilt_and_subscribers_are_told(log):
    controller = make_controller(log)
    seen = []
    controller.store.subscribe("team", lambda change, now: seen.append(change))
    for name in ("depot", "owner"):
        log.publish(name, {"rate": 10.0, "burst": 100.0})
    await read_to_end(controller)
    log.publish("depot", None)
    log.publish("crew", {"rate": 1.0, "burst": 1.0})
    statement = {
        "type": "restatement",
        "kind": "team",
        "name": "owner",
        "version": 2,
        "as_of": 4,
        "body": {"rate": 10.0, "burst": 100.0},
        "writer": "entry-2",
    }
    await log.append("config", [statement])
    log.first_offset = 3
    store = controller.store
    del seen[:]
    await read_to_end(controller)
    assert controller.store is store
    assert store.team("depot") is None
    assert store.team("owner").rate == 10.0
    assert {(c.name, c.item is None) for c in seen} == {
        ("crew", False),
        ("depot", True),
    }
    assert store.applied_offset == 4
