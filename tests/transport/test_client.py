"""What a target sends is taken for what it is, and for no other request."""

import asyncio
import time

import pytest

from skylarkpost.transport import (
    AnswerBroken,
    AnswerHead,
    CallAnswer,
    CallLost,
    ConnectFailed,
    ConnectionPool,
    NoConnection,
    call_target,
    encode_request,
    open_connection,
)
from skylarkpost.transport.client import AnswerEnd
from tests.transport.rig import answers, target

REQUEST = encode_request("GET", "/a", [("host", "h")], b"")
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def connect(address):
    return await open_connection(address, timeout=1.0, clock=time.monotonic)


async def collect(connection):
    events = []
    while not events or not isinstance(events[-1], AnswerEnd | AnswerBroken):
        events.append(await asyncio.wait_for(connection.receive(), 3))
    return events


async def answer_to(*scripts):
    async with target(*scripts) as (address, _):
        connection = await connect(address)
        connection.send(REQUEST)
        events = await collect(connection)
        return connection, events


async def test_an_answer_is_read_whole_and_the_connection_kept():
    connection, events = await answer_to(answers(OK, OK))
    assert isinstance(events[0], AnswerHead)
    assert events[1] == b"ok"
    assert isinstance(events[-1], AnswerEnd)
    assert connection.is_reusable


@pytest.mark.parametrize(
    "payload",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nCont",
        b"",
        b"this is no answer\r\n\r\n",
    ],
)
async def test_a_truncated_or_senseless_answer_is_broken(payload):
    _, events = await answer_to(answers(payload))
    assert isinstance(events[-1], AnswerBroken)


async def test_an_answer_without_length_is_complete_at_a_clean_end_only():
    payload = b"HTTP/1.1 200 OK\r\n\r\nok"
    _, events = await answer_to(answers(payload))
    assert isinstance(events[-1], AnswerEnd)
    _, events = await answer_to(answers(payload, reset=True))
    assert isinstance(events[-1], AnswerBroken)


async def test_a_second_answer_belongs_to_no_request():
    connection, events = await answer_to(answers(OK + OK.replace(b"ok", b"no")))
    assert [event for event in events if isinstance(event, bytes)] == [b"ok"]
    assert not connection.is_reusable


async def test_bytes_on_an_idle_connection_close_it():
    async def script(reader, writer, seen):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)
        await asyncio.sleep(0.05)
        writer.write(OK)
        await reader.read()

    async with target(script) as (address, _):
        connection = await connect(address)
        connection.send(REQUEST)
        await collect(connection)
        await asyncio.sleep(0.15)
        assert not connection.is_open


async def test_a_late_answer_can_be_skipped_for_the_right_one():
    late = OK.replace(b"\r\n\r\n", b"\r\nX: late\r\n\r\n")
    async with target(answers(late + OK)) as (address, _):
        connection = await connect(address)
        connection.send(REQUEST)
        head = await connection.receive()
        assert ("x", "late") in head.headers
        await connection.skip_answer()
        head = await asyncio.wait_for(connection.receive(), 3)
        assert ("x", "late") not in head.headers


async def test_an_informational_answer_is_passed_over():
    _, events = await answer_to(answers(b"HTTP/1.1 100 Continue\r\n\r\n" + OK))
    assert events[0].status == 200


async def test_a_refused_connection_was_not_sent():
    async with target() as (address, _):
        pass
    assert isinstance(await connect(address), ConnectFailed)


async def test_a_pool_keeps_connections_and_their_number():
    pool = ConnectionPool(clock=time.monotonic)
    async with target(answers(OK, OK, OK), answers(OK)) as (address, _):
        first = await pool.get("t", address, limit=1)
        assert isinstance(await pool.get("t", address, limit=1), NoConnection)
        first.send(REQUEST)
        await collect(first)
        pool.put_back("t", first)
        assert await pool.get("t", address, limit=1) is first
        # Another run of a target at the same address shares no connection.
        other = await pool.get("u", address, limit=1)
        assert other is not first
        first.close()
        other.close()
        assert pool.targets["t"].open == 0


async def test_a_connection_that_was_idle_too_long_is_not_used_again():
    now = [0.0]
    pool = ConnectionPool(clock=lambda: now[0])
    head = OK.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=2\r\n\r\n")
    async with target(answers(head, OK), answers(OK)) as (address, _):
        first = await pool.get("t", address, limit=2)
        first.send(REQUEST)
        await collect(first)
        pool.put_back("t", first)
        now[0] = 1.5
        second = await pool.get("t", address, limit=2)
        assert second is not first
        assert not first.is_open
        second.close()


async def test_a_small_call_tells_whether_it_may_have_arrived():
    pool = ConnectionPool(clock=time.monotonic)

    async def silent(reader, writer, seen):
        await reader.read()

    async with target(answers(OK), silent) as (address, _):
        options = {"name": "t", "address": address, "limit": 2, "payload": REQUEST}
        answer = await call_target(pool, timeout=1.0, **options)
        assert answer == CallAnswer(200, b"ok")
        pool.drop("t")
        lost = await call_target(pool, timeout=0.1, **options)
        assert lost == CallLost("no answer in time", was_sent=True)
    gone = await call_target(pool, timeout=1.0, **options)
    assert isinstance(gone, CallLost)
    assert not gone.was_sent
