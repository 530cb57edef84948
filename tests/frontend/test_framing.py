"""HTTP framing on the caller-facing port, with the server that the daemon runs."""

import asyncio
import contextlib
import socket

import pytest
import uvicorn

from skylarkpost.daemon.instance import HttpServer
from skylarkpost.frontend import protocol
from skylarkpost.frontend.protocol import MAX_HEAD_BYTES, BoundedHttpProtocol


@contextlib.asynccontextmanager
async def served(app):
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    config = uvicorn.Config(
        app, lifespan="off", log_level="error", http=BoundedHttpProtocol
    )
    server = HttpServer(config)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    async with asyncio.timeout(5):
        while not server.started:
            await asyncio.sleep(0.01)
    try:
        yield sock.getsockname()[1]
    finally:
        server.should_exit = True
        await task


async def test_a_request_with_two_lengths_is_refused_and_runs_nothing():
    seen = []

    async def app(scope, receive, send):
        seen.append(scope["path"])

    payload = (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    async with served(app) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(payload)
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert seen == []


async def answer_ok(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": scope["path"].encode()})


async def send_raw(port, payload):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        with contextlib.suppress(ConnectionError):
            writer.write(payload)
            return await asyncio.wait_for(reader.read(), 5)
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize("ending", [b"\r\n\r\n", b""])
async def test_a_head_that_is_too_large_is_refused(ending):
    field = b"X-Large: " + MAX_HEAD_BYTES * b"x"
    async with served(answer_ok) as port:
        answer = await send_raw(port, b"GET / HTTP/1.1\r\nHost: h\r\n" + field + ending)
    assert answer.startswith(b"HTTP/1.1 431 ")


async def test_a_large_body_does_not_count_as_head():
    body = 4 * MAX_HEAD_BYTES * b"x"
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body)
    after = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    async with served(answer_ok) as port:
        answer = await send_raw(port, head + body + after)
    assert answer.count(b"200 OK") == 2


async def test_a_head_that_stalls_ends_the_connection(monkeypatch):
    monkeypatch.setattr(protocol, "HEAD_TIMEOUT_S", 0.05)
    async with served(answer_ok) as port:
        assert await send_raw(port, b"GET / HTTP/1.1\r\nHost:") == b""
