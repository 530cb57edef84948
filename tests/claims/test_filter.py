import asyncio
import uuid
from types import SimpleNamespace

import pytest

from skylarkpost.claims.controller import ClaimsController
from skylarkpost.claims.filter import ClaimFilter
from skylarkpost.daemon import Services
from skylarkpost.filters import Answer, Exchange
from skylarkpost.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
    LogRecord,
    LogUnavailable,
    Records,
)
from skylarkpost.outcomes import Reason, Refused, Relayed, RunState
from skylarkpost.settings import Settings

BOOKING = SimpleNamespace(name="booking", repeatable=False)
NOW = 1_000_000.0


class FakeLog:
    def __init__(self):
        self.records, self.appends, self.mode = [], 0, "ok"

    async def append(self, stream, records):
        if self.mode == "down":
            return AppendRefused(detail="down")
        self.appends += 1
        first = len(self.records)
        if self.mode != "swallow":
            self.records += records
        if self.mode == "ok":
            return Appended(first_offset=first)
        return AppendUnknown(detail="lost")

    async def read(self, stream, *, from_offset, limit, wait):
        await asyncio.sleep(0.001)
        if self.mode == "down":
            return LogUnavailable(detail="down")
        kept = list(enumerate(self.records))[from_offset:]
        records = [LogRecord(offset, NOW, data) for offset, data in kept]
        return Records(first_offset=0, next_offset=len(self.records), records=records)


def build(log, name):
    settings = Settings.model_validate(
        {
            "instance": {
                "id": name,
                "data_centre": "a",
                "address": "127.0.0.1",
                "http_port": 1,
                "peer_port": 2,
            },
            "platform": {
                "log_url": "http://127.0.0.1:1",
                "instance_list_url": "http://127.0.0.1:1",
            },
            "claims": {"window": 1.0},
        }
    )
    services = Services(settings=settings, wall_clock=lambda: NOW, seed=1)
    services.log = log
    services.controllers["claims"] = ClaimsController(services=services)
    return services


@pytest.fixture
async def log():
    return FakeLog()


@pytest.fixture
async def instances(log):
    instances = [build(log, name) for name in ("e1", "e2")]
    for services in instances:
        await services.controllers["claims"].start()
    yield instances
    for services in instances:
        await services.controllers["claims"].stop()
        await services.close()


def make_key(made_at=NOW, number=1):
    bits = int(made_at * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=bits))


def booking(key, body=b"km 7"):
    exchange = Exchange(
        request_id="r",
        method="POST",
        path="/services/booking/hold",
        query="",
        headers={"idempotency-key": key} if key else {},
        body=body,
        key_hash=None,
        received_at=0.0,
        deadline=10.0,
    )
    exchange.team, exchange.route = "depot", BOOKING
    return exchange


async def apply_filter(services, exchange):
    return await ClaimFilter(services=services).apply(exchange)


async def finish(services, exchange, *, dispatched, answer=None):
    """Finish a request, and wait until its end record is appended."""
    exchange.dispatched, exchange.answer = dispatched, answer
    await exchange.finish()
    await asyncio.wait(services.controllers["claims"].tasks)


async def settle(instances):
    log = instances[0].log
    while any(
        services.controllers["claims"].follower.applied_offset < len(log.records)
        for services in instances
    ):
        await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("key", "reason", "run_state"),
    [
        (None, Reason.IDEMPOTENCY_KEY_MISSING, RunState.NOT_RUN),
        ("x", Reason.IDEMPOTENCY_KEY_INVALID, RunState.NOT_RUN),
        (str(uuid.UUID(int=4 << 76)), Reason.IDEMPOTENCY_KEY_INVALID, RunState.NOT_RUN),
        (make_key(NOW + 61), Reason.IDEMPOTENCY_KEY_INVALID, RunState.NOT_RUN),
        (make_key(NOW - 3481), Reason.IDEMPOTENCY_KEY_TOO_OLD, RunState.UNKNOWN),
    ],
)
async def test_keys_that_cannot_be_claimed(instances, log, key, reason, run_state):
    refusal = await apply_filter(instances[0], booking(key))
    assert (refusal.reason, refusal.run_state) == (reason, run_state)
    assert log.records == []


async def test_a_repeatable_call_needs_no_key(instances):
    exchange = booking(None)
    exchange.route = SimpleNamespace(name="roster", repeatable=True)
    assert await apply_filter(instances[0], exchange) is None


async def test_a_second_arrival_elsewhere_gets_the_stored_answer(instances):
    exchange = booking(make_key())
    assert await apply_filter(instances[0], exchange) is None
    await settle(instances)
    second = await apply_filter(instances[1], booking(make_key()))
    assert (second.reason, second.run_state) == (
        Reason.CLAIM_RUNNING,
        RunState.RUNNING,
    )
    answer = Answer(201, {"x-hold": "9"}, b"held \xff")
    await finish(instances[0], exchange, dispatched=True, answer=answer)
    await settle(instances)
    third = await apply_filter(instances[1], booking(make_key()))
    assert isinstance(third, Relayed)
    assert third.status == 201
    assert third.headers == {"x-hold": "9", "idempotent-replayed": "true"}
    assert [piece async for piece in third.body] == [b"held \xff"]


async def test_the_same_key_for_another_request_is_refused(instances):
    assert await apply_filter(instances[0], booking(make_key())) is None
    refusal = await apply_filter(instances[0], booking(make_key(), b"km 8"))
    assert refusal.reason == Reason.IDEMPOTENCY_KEY_REUSED


async def test_two_arrivals_at_once_run_once(instances):
    outcomes = await asyncio.gather(
        *(apply_filter(services, booking(make_key())) for services in instances * 3)
    )
    assert outcomes.count(None) == 1
    refused = [outcome for outcome in outcomes if outcome is not None]
    assert {refusal.run_state for refusal in refused} == {RunState.RUNNING}


async def test_what_was_sent_without_an_answer_may_have_run(instances):
    exchange = booking(make_key())
    assert await apply_filter(instances[0], exchange) is None
    await finish(instances[0], exchange, dispatched=True)
    await settle(instances)
    refusal = await apply_filter(instances[1], booking(make_key()))
    assert refusal.reason == Reason.CLAIM_OUTCOME_UNKNOWN
    assert refusal.run_state == RunState.UNKNOWN


async def test_what_was_not_sent_can_be_claimed_again(instances):
    exchange = booking(make_key())
    assert await apply_filter(instances[0], exchange) is None
    exchange.outcome = Refused(reason=Reason.NO_TARGET, message="")
    await finish(instances[0], exchange, dispatched=False)
    await settle(instances)
    assert await apply_filter(instances[1], booking(make_key())) is None


async def test_a_lost_append_answer_is_read_back(instances, log):
    log.mode = "lost"
    assert await apply_filter(instances[0], booking(make_key())) is None


@pytest.mark.parametrize("mode", ["down", "swallow"])
async def test_without_the_log_the_call_is_refused_as_not_run(instances, log, mode):
    log.mode = mode
    exchange = booking(make_key())
    refusal = await apply_filter(instances[0], exchange)
    assert refusal.reason == Reason.CLAIM_LOG_UNAVAILABLE
    assert refusal.run_state == RunState.NOT_RUN
    assert exchange.dispatched is False


async def test_claims_that_come_together_go_in_one_append(instances, log):
    keys = [make_key(number=number) for number in range(50)]
    outcomes = await asyncio.gather(
        *(apply_filter(instances[0], booking(key)) for key in keys)
    )
    assert outcomes == [None] * 50
    assert log.appends < 25
