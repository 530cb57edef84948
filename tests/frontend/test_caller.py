import asyncio
import types

import pytest
from starlette.requests import ClientDisconnect

from skylarkpost.frontend.caller import CallerEndpoint
from skylarkpost.metrics import Metrics
from skylarkpost.outcomes import Reason, Refused, Relayed
from skylarkpost.settings.schema import ProcessSettings

SCOPE = {
    "type": "http",
    "method": "POST",
    "path": "/v1/chat/completions",
    "query_string": b"",
    "headers": [(b"authorization", b"Bearer skp_secret")],
    "asgi": {"spec_version": "2.4"},
}


class FakeChain:
    """Returns a given outcome and records the order of cleanup steps."""

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.cleanup_steps = []

    async def run(self, exchange):
        self.exchange = exchange

        async def finished(_):
            self.cleanup_steps.append("finished")

        exchange.on_finish(finished)
        exchange.outcome = self.outcome or Relayed(status=200, body=self.body())
        return exchange.outcome

    async def body(self):
        try:
            while True:
                yield b"data: x\n\n"
        finally:
            self.cleanup_steps.append("body-closed")


def make_endpoint(chain, *, max_body=100, memory_mb=0.0):
    requests = types.SimpleNamespace(max_open=2, max_body=max_body, deadline=5.0)
    services = types.SimpleNamespace(
        settings=types.SimpleNamespace(
            requests=requests, process=ProcessSettings(memory_mb=memory_mb)
        ),
        exchanges={},
        clock=lambda: 1.0,
        metrics=Metrics(),
        draining=False,
    )
    return CallerEndpoint(services=services, chain=chain)


async def call(endpoint, *, body=b"{}", fail_after=None):
    """Send one request; the caller disconnects after `fail_after` messages."""
    sent = []
    received = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive():
        return received.pop(0) if received else {"type": "http.disconnect"}

    async def send(message):
        if fail_after is not None and len(sent) >= fail_after:
            raise OSError("the caller disconnected")
        sent.append(message)

    await endpoint(SCOPE, receive, send)
    return sent


async def test_a_disconnect_closes_the_answer_body_before_finish_callbacks_run():
    chain = FakeChain()
    endpoint = make_endpoint(chain)
    with pytest.raises(ClientDisconnect):
        await call(endpoint, fail_after=3)
    assert chain.cleanup_steps == ["body-closed", "finished"]
    assert endpoint.services.exchanges == {}


async def test_the_key_is_not_kept_with_the_request():
    chain = FakeChain(Refused(reason=Reason.KEY_UNKNOWN, message="no"))
    sent = await call(make_endpoint(chain))
    assert sent[0]["status"] == 401
    assert "skp_secret" not in str(vars(chain.exchange))
    assert chain.exchange.key_hash is not None


async def test_too_large_a_body_is_refused_before_the_chain():
    chain = FakeChain()
    sent = await call(make_endpoint(chain, max_body=10), body=b"x" * 11)
    assert sent[0]["status"] == 413
    assert not hasattr(chain, "exchange")


async def test_more_open_requests_than_allowed_are_refused():
    endpoint = make_endpoint(FakeChain())
    endpoint.services.exchanges = {"a": 1, "b": 2}
    sent = await call(endpoint)
    assert sent[0]["status"] == 503


async def test_a_body_without_room_is_refused_with_a_time_to_return():
    chain = FakeChain()
    endpoint = make_endpoint(chain, max_body=100_000, memory_mb=1.0)
    other = object()
    endpoint.account.hold(other, 500_000, now=1.0, may_be_closed=False)
    sent = await call(endpoint, body=b"x" * 50_000)
    assert sent[0]["status"] == 503
    headers = dict(sent[0]["headers"])
    assert float(headers[b"retry-after"]) > 0.0
    assert headers[b"connection"] == b"close"
    assert b'"not-run"' in sent[1]["body"]
    assert not hasattr(chain, "exchange")
    assert endpoint.account.total == 500_000


async def test_a_body_that_stalls_makes_room_for_another():
    endpoint = make_endpoint(FakeChain(), max_body=100_000, memory_mb=1.0)
    now = 1.0
    endpoint.services.clock = lambda: now
    sent = []
    never = asyncio.Event()
    pieces = [{"type": "http.request", "body": b"x" * 90_000, "more_body": True}]

    async def receive():
        if pieces:
            return pieces.pop()
        await never.wait()

    async def send(message):
        sent.append(message)

    stalled = asyncio.create_task(endpoint(SCOPE, receive, send))
    await asyncio.sleep(0.01)
    other = object()
    endpoint.account.hold(other, 200_000, now=now, may_be_closed=False)
    now = 9.0
    # The chain answers without an end; the caller leaves after the first pieces.
    with pytest.raises(ClientDisconnect):
        await call(endpoint, fail_after=3)
    await asyncio.wait_for(stalled, 5.0)
    assert sent[0]["status"] == 503
    assert endpoint.account.total == 200_000
