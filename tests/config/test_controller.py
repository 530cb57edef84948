import asyncio
import contextlib
import random
import types

import grpc
import pytest

from skylarkpost.config.controller import ConfigController
from skylarkpost.log import Appended, LogRecord, LogUnavailable, Records
from skylarkpost.metrics import Metrics
from skylarkpost.rpc import PeerChannels


class FakeLog:
    """In-memory log with a first kept offset and a switchable outage."""

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


class FakeMembership:
    """Fake membership with members set by the test."""

    def __init__(self):
        self.members = []
        self.published = {}
        self.callbacks = {}
        self.last_resumed_at = None

    def reachable(self, now):
        return list(self.members)

    def publish(self, topic, payload):
        self.published[topic] = payload

    def subscribe(self, topic, callback):
        self.callbacks[topic] = callback

    def deliver(self, sender, instance):
        member = types.SimpleNamespace(instance=instance)
        for topic, payload in sender.published.items():
            self.callbacks[topic](member, payload, 0.0)


class Clock:
    """Virtual time in seconds."""

    def __init__(self):
        self.now = 10.0

    def __call__(self):
        return self.now


def make_controller(log, *, instance="entry-1", membership=None):
    clock = Clock()
    services = types.SimpleNamespace(
        log=log,
        clock=clock,
        wall_clock=Clock(),
        random=random.Random(1),
        metrics=Metrics(),
        exchanges={},
        controllers={"membership": membership} if membership else {},
        peers=PeerChannels(),
        instance=instance,
        data_centre="windhoek-a",
        settings=types.SimpleNamespace(
            platform=types.SimpleNamespace(log_retention=100.0)
        ),
    )
    controller = ConfigController(services=services)
    clock.now += 5.0
    return controller


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


async def test_after_a_gap_the_store_is_rebuilt_and_subscribers_are_notified(log):
    controller = make_controller(log)
    seen = []
    controller.store.subscribe("team", lambda change, now: seen.append(change))
    for name in ("depot", "owner"):
        log.publish(name, {"rate": 10.0, "burst": 100.0})
    await read_to_end(controller)
    log.publish("depot", None)
    log.publish("crew", {"rate": 1.0, "burst": 1.0})
    body = {"rate": 10.0, "burst": 100.0}
    item = {"kind": "team", "name": "owner", "version": 2, "body": body}
    statement = {"type": "restatement", "as_of": 4, "items": [item], "writer": "e2"}
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


@contextlib.asynccontextmanager
async def served(controller):
    """Serve a controller's configuration on loopback; yields its member."""
    server = grpc.aio.server()
    controller.add_to_server(server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    yield types.SimpleNamespace(instance="entry-2", address=f"127.0.0.1:{port}")
    await server.stop(None)


@pytest.fixture
async def pair(log):
    """A controller without access to the log, and a peer that has it."""
    peer = make_controller(log, instance="entry-2", membership=FakeMembership())
    membership = FakeMembership()
    cut_log = FakeLog()
    cut_log.down = True
    controller = make_controller(cut_log, membership=membership)
    async with served(peer) as member:
        membership.members = [member]
        yield controller, peer
    await controller.services.peers.close()


async def test_a_cold_instance_without_the_log_takes_a_snapshot_of_a_peer(log, pair):
    controller, peer = pair
    log.publish("depot", {"rate": 10.0, "burst": 100.0})
    await read_to_end(controller)
    assert not controller.is_ready()
    await read_to_end(peer)
    controller.services.clock.now += 1.0
    await read_to_end(controller)
    await read_to_end(controller)
    controller.services.clock.now += 1.0
    await read_to_end(controller)
    assert controller.is_ready()
    assert controller.store.team("depot").rate == 10.0
    assert controller.follower.applied_offset == 1


async def test_an_instance_cut_from_the_log_learns_changes_from_a_peer(log, pair):
    controller, peer = pair
    await read_to_end(peer)
    await read_to_end(controller)
    assert controller.is_ready()
    for number in range(3):
        log.publish(f"team-{number}", {"rate": 10.0, "burst": 100.0})
    await read_to_end(peer)
    membership = controller.services.controllers["membership"]
    membership.deliver(peer.services.controllers["membership"], "entry-2")
    controller.services.clock.now += 1.0
    await read_to_end(controller)
    assert controller.store.team("team-2") is not None
    assert controller.replica.applied_offset == 2
    assert controller.follower.applied_offset == 3


async def test_after_a_pause_the_log_is_asked_before_a_key_is_judged(log):
    membership = FakeMembership()
    controller = make_controller(log, membership=membership)
    log.publish("depot", {"rate": 10.0, "burst": 100.0})
    await read_to_end(controller)
    log.publish("depot", None)
    await controller.confirm_after_pause()
    assert controller.store.team("depot") is not None
    membership.last_resumed_at = controller.services.clock()
    await asyncio.gather(*(controller.confirm_after_pause() for _ in range(3)))
    assert controller.store.team("depot") is None
    assert controller.follower.applied_offset == 2
    log.publish("depot", {"rate": 10.0, "burst": 100.0})
    await controller.confirm_after_pause()
    assert controller.store.team("depot") is None


async def test_after_a_pause_without_the_log_a_peer_is_asked(log, pair):
    controller, peer = pair
    await read_to_end(peer)
    await read_to_end(controller)
    log.publish("depot", {"rate": 10.0, "burst": 100.0})
    await read_to_end(peer)
    membership = controller.services.controllers["membership"]
    membership.last_resumed_at = controller.services.clock()
    await controller.confirm_after_pause()
    assert controller.store.team("depot") is not None


async def test_items_are_restated_before_the_log_forgets_them(log):
    controller = make_controller(log)
    log.publish("depot", {"rate": 10.0, "burst": 100.0})
    await read_to_end(controller)
    assert len(log.records) == 1
    controller.services.wall_clock.now += 60.0
    controller.services.clock.now += 60.0
    await read_to_end(controller)
    restatement = log.records[1].data
    assert (restatement["type"], restatement["as_of"]) == ("restatement", 1)
    body = {"rate": 10.0, "burst": 100.0}
    stated = {"kind": "team", "name": "depot", "version": 1, "body": body}
    assert restatement["items"] == [stated]
