import asyncio
import types

from skylarkpost.filters import Exchange
from skylarkpost.outcomes import Reason, Refused, Relayed, RunState
from skylarkpost.relay import RetryBudget
from skylarkpost.relay.service_call import ServiceCall
from skylarkpost.targets import Answered, MayHaveRun, NotRun

LEFT = Refused(reason=Reason.CALLER_LEFT, message="The caller left.")


class FakeRelay:
    """Relay whose targets return the given answers in order."""

    def __init__(self, answers):
        self.answers = answers
        self.sent = []
        self.plain_services = self
        self.budget = RetryBudget(ratio=0.1, reserve=10.0)

    async def send(self, address, **call):
        self.sent.append((address, call))
        answer = self.answers.pop(0)
        return await answer() if callable(answer) else answer

    def release_ticket(self, exchange, *, certain, succeeded):
        exchange.ticket = None

    async def acquire_next_ticket(self, exchange, *, ledger):
        number = len(self.sent)
        exchange.ticket = types.SimpleNamespace(target=f"t{number}", address="a")


def make_call(answers, *, repeatable):
    exchange = Exchange(
        request_id="r1",
        method="POST",
        path="/services/till/pay",
        query="day=2",
        headers={"idempotency-key": "k"},
        body=b"{}",
        key_hash=None,
        received_at=0.0,
        deadline=100.0,
    )
    exchange.route = types.SimpleNamespace(name="till", repeatable=repeatable)
    exchange.team = "gate-riders"
    exchange.ticket = types.SimpleNamespace(target="t0", address="a")
    requests = types.SimpleNamespace(service_timeout=10.0)
    services = types.SimpleNamespace(
        clock=lambda: 0.0, settings=types.SimpleNamespace(requests=requests)
    )
    relay = FakeRelay(answers)
    return ServiceCall(exchange=exchange, services=services, relay=relay), relay


DONE = Answered(status=200, body=b"paid")
REFUSED = NotRun(code="not-connected")
SILENT = MayHaveRun(detail="no answer in time")


async def test_an_unrepeatable_call_is_retried_only_if_it_did_not_run():
    call, relay = make_call([REFUSED, SILENT, DONE], repeatable=False)
    outcome = await call.run()
    assert len(relay.sent) == 2
    assert outcome.run_state is RunState.UNKNOWN


async def test_a_repeatable_call_is_retried_until_it_is_answered():
    call, relay = make_call([REFUSED, SILENT, DONE], repeatable=True)
    assert isinstance(await call.run(), Relayed)
    assert call.exchange.answer.body == b"paid"
    _, sent = relay.sent[0]
    assert sent["path"] == "/pay?day=2"
    assert sent["headers"]["x-team"] == "gate-riders"


async def test_a_caller_that_leaves_ends_a_repeatable_call_that_may_have_run():
    call, _ = make_call([asyncio.Event().wait], repeatable=True)
    running = asyncio.create_task(call.run())
    await asyncio.sleep(0)
    call.exchange.cancel(LEFT)
    outcome = await running
    assert (outcome.reason, outcome.run_state) == (LEFT.reason, RunState.UNKNOWN)


async def test_an_unrepeatable_call_completes_after_its_caller_disconnects():
    answered = asyncio.Event()

    async def answer():
        await answered.wait()
        return DONE

    call, _ = make_call([answer], repeatable=False)
    running = asyncio.create_task(call.run())
    await asyncio.sleep(0)
    call.exchange.cancel(LEFT)
    answered.set()
    assert isinstance(await running, Relayed)
    assert call.exchange.answer.status == 200


async def test_a_call_past_its_send_by_time_is_not_sent():
    call, relay = make_call([DONE], repeatable=False)
    call.exchange.send_by = -1.0
    outcome = await call.run()
    assert relay.sent == []
    assert outcome.run_state is RunState.NOT_RUN
