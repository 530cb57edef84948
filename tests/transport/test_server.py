"""Valid requests are served, invalid ones are refused and the connection closed."""

import asyncio

import pytest

from skylarkpost.outcomes import Relayed
from skylarkpost.transport import BodyBrokenError, PlainResponse
from skylarkpost.transport.server import MAX_PIPELINED
from skylarkpost.transport.sockets import READ_BYTES
from tests.transport.rig import BOUNDS, caller_server, send_and_read

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSING_GET = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def recorder():
    seen = []

    async def handler(request):
        seen.append(request)
        return PlainResponse(200, (), request.body or request.target.encode())

    return seen, handler


async def test_requests_on_one_connection_are_answered_in_order():
    seen, handler = recorder()
    async with caller_server(handler) as (port, _):
        payload = GET + GET.replace(b"/a", b"/b") + CLOSING_GET.replace(b"/a", b"/c")
        got = await send_and_read(port, payload)
    assert [request.target for request in seen] == ["/a", "/b", "/c"]
    assert got.index(b"/a") < got.index(b"/b") < got.index(b"/c")
    assert got.count(b"connection: close") == 1


async def test_a_chunked_body_is_received_whole():
    seen, handler = recorder()
    payload = (
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    async with caller_server(handler) as (port, _):
        assert (await send_and_read(port, payload)).endswith(b"abcde")
    assert seen[0].body == b"abcde"


async def test_a_slow_body_is_received():
    _, handler = recorder()
    async with caller_server(handler) as (port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
        for byte in b"abcd":
            await asyncio.sleep(BOUNDS.idle_timeout / 3)
            writer.write(bytes([byte]))
        assert b"abcd" in await reader.readuntil(b"abcd")
        writer.close()


async def test_a_half_closed_caller_receives_its_response():
    _, handler = recorder()
    async with caller_server(handler) as (port, _):
        assert (await send_and_read(port, GET, half_close=True)).endswith(b"/a")


async def test_expect_100_continue_is_answered_before_the_body():
    _, handler = recorder()
    head = (
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\nConnection: close\r\n\r\n"
    )
    async with caller_server(handler) as (port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        writer.write(b"ok")
        assert (await reader.read()).endswith(b"ok")
        writer.close()


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
            b"Host: h\r\n\r\n",
            400,
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            400,
        ),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400),
        (b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
            400,
        ),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3000 + b"\r\n\r\n", 431),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3000, 431),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n", 413),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1770\r\n" + b"x" * 6000 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"GET /a HTTP/1.1\r\nHost: h\r\n", 408),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", 408),
    ],
)
async def test_improper_requests_are_refused_and_run_nothing(payload, status):
    seen, handler = recorder()
    async with caller_server(handler) as (port, _):
        got = await send_and_read(port, payload)
    assert got.startswith(b"HTTP/1.1 %d " % status)
    assert got.count(b"HTTP/1.1 ") == 1
    assert b"connection: close" in got
    assert seen == []


async def test_requests_before_an_invalid_one_are_answered():
    seen, handler = recorder()
    async with caller_server(handler) as (port, _):
        got = await send_and_read(port, GET + b"nonsense\r\n\r\n")
    assert [request.target for request in seen] == ["/a"]
    assert got.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 400" in got


async def test_an_idle_connection_is_closed_after_the_idle_timeout():
    _, handler = recorder()
    async with caller_server(handler) as (port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for _ in range(2):
            writer.write(GET)
            await reader.readuntil(b"/a")
            await asyncio.sleep(0.8 * BOUNDS.idle_timeout)
        writer.write(GET)
        await reader.readuntil(b"/a")
        assert await asyncio.wait_for(reader.read(), 3 * BOUNDS.idle_timeout) == b""
        writer.close()


def streaming(pieces, *, headers=(), aborts=False):
    async def body():
        for piece in pieces:
            yield piece
        if aborts:
            raise BodyBrokenError("the target broke off")

    async def handler(request):
        return Relayed(status=200, headers=list(headers), body=body())

    return handler


async def test_a_streamed_body_is_sent_in_chunks():
    async with caller_server(streaming([b"one", b"two"])) as (port, _):
        got = await send_and_read(port, CLOSING_GET)
    assert got.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")


@pytest.mark.parametrize(
    ("headers", "ending"),
    [((), b"3\r\none\r\n"), ((("content-length", "9"),), b"one")],
)
async def test_an_aborted_response_does_not_look_complete(headers, ending):
    handler = streaming([b"one"], headers=headers, aborts=True)
    async with caller_server(handler) as (port, _):
        got = await send_and_read(port, GET)
    assert got.endswith(ending)


async def test_a_broken_answer_without_length_ends_with_a_reset():
    handler = streaming([b"one"], aborts=True)
    async with caller_server(handler) as (port, _):
        with pytest.raises(ConnectionResetError):
            await send_and_read(port, b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n")


async def test_an_answer_without_length_of_a_process_that_ends_is_reset():
    """Guards against the end of a process that looks like the end of an answer."""
    started = asyncio.Event()

    async def handler(request):
        async def body():
            yield b"half"
            started.set()
            await asyncio.sleep(30)

        return Relayed(status=200, headers=[], body=body())

    async with caller_server(handler) as (port, connections):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
        await asyncio.wait_for(started.wait(), 3)
        [connection] = connections
        # The kernel closes the sockets of a process that ends.
        connection.transport.close()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 3)
        writer.close()


async def test_pipelined_requests_leave_the_event_loop_to_others():
    """Guards against one caller that keeps all other requests waiting."""
    served, turns, longest = 0, 0, 0

    async def handler(request):
        nonlocal served, longest
        served += 1
        longest = max(longest, len(next(iter(connections)).requests))
        return PlainResponse(204)

    async def count_turns():
        nonlocal turns
        while served < count:
            turns += 1
            await asyncio.sleep(0)

    count = 20_000
    async with caller_server(handler) as (port, connections):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        reading = asyncio.create_task(reader.read())
        counting = asyncio.create_task(count_turns())
        writer.write(GET * count)
        await asyncio.wait_for(counting, 20)
        writer.close()
        reading.cancel()
    assert turns >= count
    # What one read may hold, beside what was queued before it.
    assert longest <= READ_BYTES // len(GET) + MAX_PIPELINED + 1


async def test_a_disconnect_is_reported_to_the_request_in_progress():
    notified = asyncio.Event()

    async def handler(request):
        request.on_change = notified.set
        await asyncio.wait_for(notified.wait(), 3)
        return PlainResponse(200)

    async with caller_server(handler) as (port, _):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.wait_for(notified.wait(), 3)


async def test_connections_close_after_the_current_request_during_shutdown():
    _, handler = recorder()
    async with caller_server(handler, is_closing=lambda: True) as (port, _):
        got = await send_and_read(port, GET)
    assert b"connection: close" in got


OFFER = (
    b"Host: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n"
)


@pytest.mark.parametrize(
    ("payload", "expected"),
    [
        (b"POST /a HTTP/1.1\r\n" + OFFER + b"Content-Length: 4\r\n\r\nbody", [b"body"]),
        (
            b"POST /a HTTP/1.1\r\n" + OFFER + b"Transfer-Encoding: chunked\r\n\r\n"
            b"4\r\nbody\r\n0\r\n\r\n",
            [b"body"],
        ),
        (b"GET /a HTTP/1.1\r\n" + OFFER + b"\r\n", [b""]),
        (
            b"POST /a HTTP/1.1\r\n" + OFFER + b"Content-Length: 4\r\n\r\nbody" + GET,
            [b"body", b""],
        ),
        (
            GET + b"POST /a HTTP/1.1\r\n" + OFFER + b"Content-Length: 4\r\n\r\nbody",
            [b"", b"body"],
        ),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"4\r\nbody\r\n0\r\nX-Model: other\r\n\r\n",
            [b"body"],
        ),
    ],
)
@pytest.mark.parametrize("size", [1, 7, 10_000])
async def test_an_odd_head_leaves_the_body_and_the_next_request_whole(
    payload, expected, size
):
    """Guards against requests that run without their body or with foreign headers."""
    seen, handler = recorder()
    async with caller_server(handler) as (port, _):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for at in range(0, len(payload), size):
            writer.write(payload[at : at + size])
            await writer.drain()
            await asyncio.sleep(0)
        for _ in expected:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
            assert head.startswith(b"HTTP/1.1 200")
            await reader.readexactly(int(head.split(b"content-length: ")[1].split()[0]))
        writer.close()
    assert [request.body for request in seen] == expected
    assert not any(request.header("upgrade") for request in seen)
    assert not any(request.header("x-model") for request in seen)


@pytest.mark.parametrize(
    "payload",
    [
        b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\nbytes",
        b"POST /a HTTP/1.1\r\n" + OFFER + b"Content-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        b"POST /a HTTP/1.1\r\n" + OFFER + b"Transfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\nx\r\n",
        b"POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n" + b"X: y\r\n" * 1000 + b"\r\n",
    ],
)
async def test_nothing_that_is_refused_runs(payload):
    """Guards against a refusal that comes after the request has been passed on."""
    seen, handler = recorder()
    async with caller_server(handler) as (port, _):
        got = await send_and_read(port, payload)
    assert got.startswith((b"HTTP/1.1 400", b"HTTP/1.1 431"))
    assert got.count(b"HTTP/1.1 ") == 1
    assert seen == []


async def test_a_handler_that_fails_does_not_leave_its_request_unanswered():
    async def handler(request):
        raise ValueError("a header that no one expected")

    async with caller_server(handler) as (port, _):
        got = await send_and_read(port, GET)
    assert got.startswith(b"HTTP/1.1 500")
