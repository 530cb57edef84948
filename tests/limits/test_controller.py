import asyncio
from types import SimpleNamespace
from typing import NamedTuple

import grpc
import pytest

from skylarkpost.daemon import Services
from skylarkpost.filters import Exchange
from skylarkpost.limits import LoadPermit, LoadWait
from skylarkpost.limits.controller import LimitsController
from skylarkpost.limits.filter import TeamLimitFilter
from skylarkpost.limits.permit_client import HeldPermit, request_permit
from skylarkpost.log import Appended
from skylarkpost.outcomes import Reason, Refused
from skylarkpost.settings import Settings

TEAM = SimpleNamespace(name="depot", rate=100.0, burst=1000.0)


class Member(NamedTuple):
    instance: str
    boot: str
    address: str
    data_centre: str
    state: str
    last_seen_at: float


class FakeLog:
    """Delivers each record at once, like a log follower that never lags."""

    def __init__(self, clock):
        self.clock, self.records, self.handlers = clock, [], []
        self.on_gap = None
        self.applied_offset = self.end_offset = 0

    @property
    def fresh_at(self):
        return self.clock()

    def subscribe(self, record_type, handler):
        self.handlers.append((record_type, handler))

    async def append(self, record):
        offset = len(self.records)
        self.records.append(record)
        for record_type, handler in self.handlers:
            if record_type == record["type"]:
                handler(record, offset, self.clock(), self.clock())
        return Appended(first_offset=offset)


class FakeStore:
    def __init__(self):
        self.callbacks = []

    def subscribe(self, kind, callback):
        self.callbacks.append(callback)

    def team(self, name):
        return TEAM if name == TEAM.name else None


class FakeMembership:
    def __init__(self):
        self.known, self.superseded = [], False
        self.published, self.subscribers = {}, {}

    def publish(self, topic, payload):
        self.published[topic] = payload

    def subscribe(self, topic, callback):
        self.subscribers[topic] = callback

    def members(self, now):
        return self.known

    neighbours = members

    async def leave(self):
        pass

    def is_ready(self):
        return not self.superseded


class Fleet:
    def __init__(self, ports):
        self.now = 1000.0
        self.log = FakeLog(lambda: self.now)
        self.membership = FakeMembership()
        self.all_limits = [self.build(f"e{i}", port) for i, port in enumerate(ports)]

    def build(self, name, port):
        settings = Settings.model_validate(
            {
                "instance": {
                    "id": name,
                    "data_centre": f"dc-{name}",
                    "address": "127.0.0.1",
                    "http_port": 1,
                    "peer_port": port,
                },
                "platform": {
                    "log_url": "http://127.0.0.1:1",
                    "instance_list_url": "http://127.0.0.1:1",
                },
                "limits": {
                    "slots": {"dc-e0": 1, "dc-e1": 1},
                    "draw_deadline": 5,
                    "patience": 0.0,
                },
            }
        )
        services = Services(
            settings=settings,
            clock=lambda: self.now,
            wall_clock=lambda: self.now,
            seed=1,
        )
        services.state_log = self.log
        store = FakeStore()
        services.controllers["config"] = SimpleNamespace(store=store)
        services.controllers["membership"] = self.membership
        limits = services.controllers["limits"] = LimitsController(services=services)
        store.callbacks[0](SimpleNamespace(item=TEAM), self.now)
        self.membership.known.append(
            Member(name, services.boot, f"127.0.0.1:{port}", "dc", "live", self.now)
        )
        return limits

    async def settle(self, steps=12):
        """Tick every controller until no background task is left."""
        for _ in range(steps):
            self.now += 0.5
            for limits in self.all_limits:
                limits._tick()
            while any(limits.tasks for limits in self.all_limits):
                await asyncio.sleep(0.005)


@pytest.fixture
async def fleet():
    servers = [grpc.aio.server() for _ in range(2)]
    ports = [server.add_insecure_port("127.0.0.1:0") for server in servers]
    fleet = Fleet(ports)
    for server, limits in zip(servers, fleet.all_limits, strict=True):
        limits.add_to_server(server)
        await server.start()
    await fleet.settle()
    all_limits = list(fleet.all_limits)
    yield fleet
    for server, limits in zip(servers, all_limits, strict=True):
        await limits.services.close()
        await server.stop(0)


def request(fleet, tokens, team="depot"):
    exchange = Exchange(
        request_id="r",
        method="POST",
        path="/v1/completions",
        query="",
        headers={},
        body=b"",
        key_hash=None,
        received_at=fleet.now,
        deadline=fleet.now + 10,
    )
    exchange.team, exchange.content = team, {}
    exchange.prompt_tokens, exchange.output_tokens = tokens // 2, tokens - tokens // 2
    return exchange


def filter_of(limits):
    return TeamLimitFilter(services=limits.services)


async def test_the_whole_burst_can_be_spent_through_either_instance(fleet):
    for limits in fleet.all_limits:
        assert await filter_of(limits).apply(request(fleet, 500)) is None
    refusal = await filter_of(fleet.all_limits[0]).apply(request(fleet, 500))
    assert refusal.reason == Reason.OVER_RATE
    assert refusal.retry_after == pytest.approx(5.0)


async def test_what_was_not_generated_is_refunded_through_either_instance(fleet):
    for limits in fleet.all_limits:
        exchange = request(fleet, 1000)
        assert await filter_of(limits).apply(exchange) is None
        exchange.outcome = Refused(reason=Reason.NO_TARGET, message="")
        await exchange.finish()
        while limits.tasks:
            await asyncio.sleep(0.005)


async def test_a_request_larger_than_the_burst_is_refused_as_such(fleet):
    refusal = await filter_of(fleet.all_limits[0]).apply(request(fleet, 1002))
    assert refusal.reason == Reason.OVER_RATE
    assert refusal.retry_after is None


async def test_an_unknown_team_is_refused_and_an_open_route_passes(fleet):
    team_filter = filter_of(fleet.all_limits[0])
    assert (
        await team_filter.apply(request(fleet, 1, "other"))
    ).reason == Reason.TEAM_UNKNOWN
    assert await team_filter.apply(request(fleet, 1, None)) is None


async def test_after_the_pool_holder_dies_a_team_gets_the_rest_once_the_leases_expire(
    fleet,
):
    holder = fleet.all_limits[0].core.holder_of("depot", ["e0", "e1"])
    other = next(
        limits for limits in fleet.all_limits if limits.services.instance != holder
    )
    fleet.membership.known = [
        member for member in fleet.membership.known if member.instance != holder
    ]
    refusal = await filter_of(other).apply(request(fleet, 100))
    assert refusal.reason == Reason.LIMIT_UNREACHABLE
    fleet.all_limits = [other]
    await fleet.settle()
    assert await filter_of(other).apply(request(fleet, 100)) is None


async def test_an_instance_that_was_replaced_yields_its_slots(fleet):
    fleet.membership.superseded = True
    await fleet.settle(steps=1)
    assert [limits.status()["own_slots"] for limits in fleet.all_limits] == [[], []]


async def test_a_leaving_instance_hands_its_tokens_over_with_its_slot(fleet):
    leaving = fleet.all_limits[0]
    # The test's clock does not advance during `leave`, so all leases must have been
    # returned before.
    leaving.core.leaving = True
    await fleet.settle()
    await leaving.leave()
    release = fleet.log.records[-1]
    assert release["type"] == "slot-release"
    assert release["balances"]["depot"] == pytest.approx(500.0)
    assert leaving.status()["own_slots"] == []


async def test_loads_are_bounded_in_number_and_rate_over_all_instances(fleet):
    answers = [await request_permit(limits) for limits in fleet.all_limits * 2]
    # The burst is one load per slot, and there are two slots.
    assert sum(isinstance(answer, LoadPermit) for answer in answers) == 2
    limits = fleet.all_limits[0]
    held = []
    for _ in range(15):
        await fleet.settle(steps=1)
        answers.append(await request_permit(limits))
        if isinstance(answers[-1], LoadPermit):
            held.append(HeldPermit(controller=limits, permit=answers[-1]))
    assert sum(isinstance(answer, LoadPermit) for answer in answers) == 8
    held[0].release()
    await fleet.settle(steps=1)
    assert await fleet.all_limits[1].acquire_load_permit(urgency=1, waiting=1)


async def test_an_unused_permit_refunds_its_token(fleet):
    for limits in fleet.all_limits * 2:
        permit = await limits.acquire_load_permit(urgency=1, waiting=1)
        permit.release(unused=True)
        while limits.tasks:
            await asyncio.sleep(0.005)


async def test_loads_in_transit_of_a_share_that_moved_have_time_to_end(fleet):
    pools = [
        limits.core.pools.leases_of("#weight-store") for limits in fleet.all_limits
    ]
    limits = fleet.all_limits[0 if pools[0] else 1]
    joined_at = min(lease.joined_at for lease in (pools[0] or pools[1]).values())
    assert limits.permits.acquire(now=joined_at + 0.5) == LoadWait(seconds=0.1)
    assert isinstance(limits.permits.acquire(now=joined_at + 1.0), LoadPermit)


async def test_a_team_within_its_rate_waits_for_shares_that_are_handed_over(fleet):
    limits = fleet.all_limits[0]
    membership, limits.services.controllers["membership"] = (
        limits.services.controllers["membership"],
        FakeMembership(),
    )
    limits.slot_manager.unconfirmed_since = fleet.now
    refused = await filter_of(limits).apply(request(fleet, 100))
    assert refused.reason is Reason.LIMIT_UNREACHABLE
    limits.settings = limits.settings.model_copy(update={"patience": 30.0})
    waiting = asyncio.create_task(filter_of(limits).apply(request(fleet, 100)))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    limits.services.controllers["membership"] = membership
    limits.slot_manager.unconfirmed_since = None
    assert await waiting is None


async def test_instances_with_different_slot_settings_are_reported_until_corrected(
    fleet,
):
    limits = fleet.all_limits[0]
    limits._run = lambda: asyncio.sleep(0)
    await limits.start()
    topic = "limits-slots"
    compare = fleet.membership.subscribers[topic]
    other = SimpleNamespace(instance="e9")
    assert limits.degraded() == []
    compare(other, b'{"dc-e0":3,"dc-e1":1}', fleet.now)
    assert "limits.slots differs from that of e9" in limits.degraded()[0]
    compare(other, fleet.membership.published[topic], fleet.now)
    assert limits.degraded() == []
