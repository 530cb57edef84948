"""Framing on the caller-facing port, as the daemon configures its server."""

import asyncio
import contextlib
import socket

import uvicorn

from skylarkpost.daemon.instance import HttpServer


@contextlib.asynccontextmanager
async def served(app):
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    config = uvicorn.Config(app, lifespan="off", log_level="error", http="httptools")
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
