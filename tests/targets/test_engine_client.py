import asyncio
import contextlib
import json

import aiohttp
import pytest

from skylarkpost.targets import (
    Accepted,
    Answered,
    EngineClient,
    MayHaveRun,
    NotRun,
    OrderDone,
    OrderFailed,
    OrderRefused,
    OrderUnknown,
    StreamBroken,
    StreamEnded,
    StreamEvent,
    StreamKeepAlive,
    StreamUnknown,
    TargetUnavailable,
)
from standins.answers import answer_tokens
from standins.common import serving
from standins.engine import EngineStandIn
from standins.engine_options import EngineOptions

CLOSED_ADDRESS = "127.0.0.1:9"
# Far above what an answer may hold, and what sockets and readers hold besides.
ENDLESS_BYTES = 200_000_000
MOST_TAKEN_BYTES = 64_000_000


@contextlib.asynccontextmanager
async def engine_pair(silence=0.3, **options):
    stand_in = EngineStandIn(options=EngineOptions(**({"step_time": 0.01} | options)))
    async with serving(stand_in) as urls, aiohttp.ClientSession() as session:
        client = EngineClient(session_source=lambda: session, silence=silence)
        address = urls[0].removeprefix("http://")
        try:
            yield stand_in, client, address
        finally:
            await client.close()


def body(prompt="hello", name="a@1", max_tokens=6, stream=True):
    content = {
        "model": name,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return json.dumps(content).encode()


def load(client, address, *, boot, weight_name="a", number=1):
    return client.load(
        address, weight_name=weight_name, version="1", fencing_number=number, boot=boot
    )


def open_stream(client, address, content=None, request_id="r.1", **options):
    return client.open_stream(
        address,
        path="/v1/completions",
        body=content or body(),
        request_id=request_id,
        **options,
    )


def texts(items):
    events = [i for i in items if isinstance(i, StreamEvent) and i.data != b"[DONE]"]
    return [json.loads(event.data)["choices"][0]["text"] for event in events]


async def test_a_complete_answer_streamed_and_in_one_piece():
    async with engine_pair() as (stand_in, client, address):
        boot = stand_in.model.boot
        assert await load(client, address, boot=boot) == OrderDone(boot=boot)
        outcome = await open_stream(client, address, boot=boot, fencing_number=1)
        assert isinstance(outcome, Accepted)
        assert outcome.boot == boot
        items = [item async for item in outcome.stream]
        assert isinstance(items[-1], StreamEnded)
        assert isinstance(items[0], StreamKeepAlive)
        assert texts(items) == answer_tokens("a@1", "hello", None, 6)
        whole = await client.complete(
            address,
            path="/v1/completions",
            body=body(stream=False),
            request_id="r.2",
            timeout=5.0,
        )
        assert isinstance(whole, Answered)
        text = json.loads(whole.body)["choices"][0]["text"]
        assert text == "".join(texts(items))


async def test_not_run_is_returned_only_if_it_is_certain():
    async with engine_pair() as (stand_in, client, address):
        assert (await open_stream(client, CLOSED_ADDRESS)).code == "not-connected"
        outcome = await open_stream(client, address)
        assert outcome == NotRun(code="adapter-not-loaded", detail="status 404")
        outcome = await open_stream(client, address, boot="other")
        assert outcome == NotRun(code="wrong-boot", detail="status 409")
        await load(client, address, boot=stand_in.model.boot)
        accepted = await open_stream(client, address)
        repeated = await open_stream(client, address)
        assert isinstance(repeated, Answered)
        accepted.stream.close()
        stand_in.switches.silent = True
        assert isinstance(await open_stream(client, address), MayHaveRun)


async def test_a_crash_during_a_request_means_it_may_have_run():
    async with engine_pair() as (stand_in, client, address):
        await load(client, address, boot=stand_in.model.boot)
        stand_in.switches.crash_marker = "KILL"
        outcome = await open_stream(client, address, body(prompt="KILL"))
        # The engine crashes in its first step, before or after the response headers.
        if not isinstance(outcome, MayHaveRun):
            items = [item async for item in outcome.stream]
            assert isinstance(items[-1], StreamBroken)
        assert isinstance(
            await client.resume(address, request_id="r.1", after=0), StreamUnknown
        )
        stand_in.switches.crash_marker = "KILL"
        await load(client, address, boot=stand_in.model.boot)
        outcome = await client.complete(
            address,
            path="/v1/completions",
            body=body(prompt="KILL", stream=False),
            request_id="r.2",
            timeout=5.0,
        )
        assert isinstance(outcome, MayHaveRun)


async def test_a_silent_stream_is_detected_and_resumed_without_loss():
    async with engine_pair(step_time=0.05) as (stand_in, client, address):
        await load(client, address, boot=stand_in.model.boot)
        outcome = await open_stream(client, address)
        items = []
        async for item in outcome.stream:
            items.append(item)
            if isinstance(item, StreamEvent) and item.id == 2:
                stand_in.silent_transports |= stand_in.transports
        assert items[-1] == StreamBroken(detail="silent")
        resumed = await client.resume(address, request_id="r.1", after=2)
        items += [item async for item in resumed.stream]
        assert isinstance(items[-1], StreamEnded)
        assert texts(items) == answer_tokens("a@1", "hello", None, 6)


async def test_a_cancelled_stream_cannot_be_resumed():
    async with engine_pair() as (stand_in, client, address):
        await load(client, address, boot=stand_in.model.boot)
        outcome = await open_stream(client, address, body(max_tokens=60))
        assert await client.cancel(address, request_id="r.1") == OrderDone(boot=None)
        assert isinstance([i async for i in outcome.stream][-1], StreamBroken)
        gone = await client.resume(address, request_id="r.1", after=0)
        assert gone == StreamUnknown(code="unknown-stream")


async def test_order_outcomes_distinguish_refused_failed_and_unknown():
    async with engine_pair() as (stand_in, client, address):
        boot = stand_in.model.boot
        stand_in.switches.failing_loads = ["broken"]
        failed = await load(client, address, boot=boot, weight_name="broken", number=5)
        assert failed == OrderFailed(code="load-failed")
        late = await load(client, address, boot=boot, number=4)
        assert late == OrderRefused(code="stale-fencing-number")
        assert await load(client, CLOSED_ADDRESS, boot=boot) == OrderRefused(
            code="not-connected"
        )
        stand_in.switches.lose_answers = 1
        lost = await load(client, address, boot=boot, number=5)
        assert isinstance(lost, OrderUnknown)
        assert "a@1" in stand_in.model.resident


async def test_queries_switch_away_from_silent_connections():
    async with engine_pair() as (stand_in, client, address):
        first = await client.load_report(address)
        assert first.slots == 4
        stand_in.silent_transports |= stand_in.transports
        assert isinstance(await client.load_report(address), TargetUnavailable)
        health = await client.health(address)
        assert health.boot == first.boot
        assert health.uptime >= first.taken_at
        assert (await client.load_report(address)).boot == first.boot
        assert (await client.cache_events(address, after=0)).events == ()


@pytest.mark.parametrize("code", ["full", "wrong-role"])
async def test_a_busy_or_unfit_engine_refuses_before_it_runs(code):
    async with engine_pair(batch_limit=0, max_waiting=1) as (stand_in, client, address):
        boot = stand_in.model.boot
        await load(client, address, boot=boot)
        if code == "full":
            accepted = await open_stream(client, address, request_id="r.0")
            assert isinstance(accepted, Accepted)
        else:
            done = await client.set_role(
                address, role="prefill", fencing_number=1, boot=boot
            )
            assert isinstance(done, OrderDone)
        assert (await open_stream(client, address)).code == code


async def test_an_endless_body_of_an_error_is_not_kept():
    """Guards against a process that runs out of memory by one faulty engine."""
    sent = 0
    closed = asyncio.Event()

    async def answer(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 500 Internal Server Error\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while sent < ENDLESS_BYTES:
                writer.write(b"x" * 65_536)
                sent += 65_536
                await writer.drain()
        writer.close()
        closed.set()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        client = EngineClient(session_source=lambda: session, silence=5.0)
        outcome = await open_stream(client, f"127.0.0.1:{port}")
        await closed.wait()
        await client.close()
    server.close()
    assert isinstance(outcome, MayHaveRun)
    assert sent < MOST_TAKEN_BYTES
