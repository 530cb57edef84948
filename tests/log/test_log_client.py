import contextlib

import aiohttp
import pytest
from starlette.responses import Response

from skylarkpost.listing import (
    InstanceList,
    InstanceListClient,
    InstanceListUnavailable,
)
from skylarkpost.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
    LogClient,
    LogUnavailable,
)
from standins.common import serving
from standins.instances import InstanceListStandIn
from standins.log import LogStandIn


@contextlib.asynccontextmanager
async def serving_log(stand_in=None):
    stand_in = stand_in or LogStandIn()
    async with serving(stand_in) as urls, aiohttp.ClientSession() as session:
        client = LogClient(
            base_url=urls[0], session_source=lambda: session, answer_timeout=0.3
        )
        yield stand_in, client
        await client.close()


async def test_appended_records_are_read_back_in_order():
    async with serving_log() as (_, log):
        assert await log.append("s", [{"type": "a"}] * 2) == Appended(first_offset=0)
        assert await log.append("s", [{"type": "b"}]) == Appended(first_offset=2)
        piece = await log.read("s", from_offset=1)
        assert [(r.offset, r.data["type"]) for r in piece.records] == [
            (1, "a"),
            (2, "b"),
        ]
        assert (piece.first_offset, piece.next_offset) == (0, 3)


async def test_a_lost_answer_is_unknown_and_an_outage_is_refused():
    async with serving_log() as (stand_in, log):
        stand_in.switches.lose_answers = 1
        assert isinstance(await log.append("s", [{}]), AppendUnknown)
        assert (await log.read("s", from_offset=0)).next_offset == 1
        stand_in.switches.outage = True
        assert isinstance(await log.append("s", [{}]), AppendRefused)
        assert isinstance(await log.read("s", from_offset=0), LogUnavailable)


async def test_silence_ends_at_the_deadline_and_kept_connections_are_left():
    async with serving_log() as (stand_in, log):
        await log.append("s", [{}])
        stand_in.switches.silent = True
        assert isinstance(await log.append("s", [{}]), AppendUnknown)
        assert isinstance(await log.read("s", from_offset=0), LogUnavailable)
        # Open connections stay silent permanently; new ones work.
        held = set(stand_in.transports)
        stand_in.is_cut = lambda scope: scope["transport"] in held
        assert isinstance(await log.append("s", [{}]), Appended)
        assert log.sessions.select(log.base_url, now=log.clock()) is (
            log.sessions.fresh()
        )


async def test_a_refused_connection_means_not_appended():
    async with aiohttp.ClientSession() as session:
        log = LogClient(base_url="http://127.0.0.1:9", session_source=lambda: session)
        assert isinstance(await log.append("s", [{}]), AppendRefused)
        assert isinstance(await log.read("s", from_offset=0), LogUnavailable)


async def test_expired_records_move_the_first_offset():
    async with serving_log() as (stand_in, log):
        await log.append("s", [{}] * 3)
        stand_in.switches.retention = 0.0
        piece = await log.read("s", from_offset=0)
        assert (piece.first_offset, piece.next_offset, piece.records) == (3, 3, [])


@pytest.mark.parametrize("fault", ["absent", "silent"])
async def test_the_last_instance_list_is_kept_while_the_platform_fails(fault):
    stand_in = InstanceListStandIn()
    async with serving(stand_in) as urls, aiohttp.ClientSession() as session:
        clock = iter(range(100))
        client = InstanceListClient(
            base_url=urls[0],
            session_source=lambda: session,
            clock=lambda: float(next(clock)),
        )
        entry = {
            "id": "e-1",
            "role": "entry",
            "address": "127.0.0.1:9001",
            "data_centre": "yaba",
            "state": "live",
        }
        async with session.put(
            urls[0] + "/instances", json={"instances": [entry]}
        ) as response:
            assert response.status == 200
        assert isinstance(await client.poll(), InstanceList)
        setattr(stand_in.switches, fault, True)
        assert isinstance(await client.poll(), InstanceListUnavailable)
        assert client.instances["e-1"].data_centre == "yaba"
        assert not client.available
        await client.stop()


async def test_a_record_that_is_not_an_object_becomes_empty():
    async with serving_log() as (_, log):
        await log.append("s", ["no object", {"type": "a"}])
        piece = await log.read("s", from_offset=0)
        assert [r.data for r in piece.records] == [{}, {"type": "a"}]


class UnpairedSurrogateLog(LogStandIn):
    """A log with a record that has an unpaired surrogate, from an operator's tool."""

    async def get_records(self, request):
        first = b'{"offset": 0, "time": 1, "data": {"type": "a", "x": "\\ud800"}}'
        second = b'{"offset": 1, "time": 1, "data": {"type": "b"}}'
        body = b'{"first_offset": 0, "next_offset": 2, "records": [%b, %b]}'
        return Response(body % (first, second), media_type="application/json")


async def test_an_unpaired_surrogate_does_not_hide_other_records():
    async with serving_log(UnpairedSurrogateLog()) as (_, log):
        piece = await log.read("s", from_offset=0)
        assert [r.data["type"] for r in piece.records] == ["a", "b"]
        assert piece.records[0].data["x"] == "?"


async def test_a_log_that_is_always_slow_is_read_in_the_end():
    async with serving_log() as (stand_in, log):
        await log.append("s", [{"type": "a"}])
        stand_in.switches.delay = 0.8
        reads = [await log.read("s", from_offset=0) for _ in range(3)]
        assert isinstance(reads[0], LogUnavailable)
        assert [r.data["type"] for r in reads[-1].records] == ["a"]


@pytest.mark.parametrize(
    ("answer", "is_malformed"),
    [
        (b"<html>bad gateway</html>", False),
        (b'{"records": [', False),
        (b'{"records": [{"data": ' + b"[" * 60_000 + b"]" * 60_000 + b"}]}", True),
    ],
)
async def test_only_a_record_nested_too_deeply_cannot_be_read_again(
    answer, is_malformed
):
    """Guards against records that are skipped for an answer that was garbled."""

    async def call(method, path, *, wait):
        return 200, answer

    async with serving_log() as (_, client):
        client._call = call
        found = await client.read("state", from_offset=0)
    assert isinstance(found, LogUnavailable)
    assert found.is_malformed is is_malformed
