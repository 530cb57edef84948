"""Calls of the store while it comes back from older copies."""

import asyncio
import contextlib

import pytest

from skylarkpost.log.keyed import (
    KeyedRecord,
    KeyedRecords,
    KeyedSnapshot,
    RecordsTrimmed,
    StoreAppended,
    StoreConflict,
    StoreUnavailable,
    StoreUnknown,
)
from skylarkpost.log.positions import MAX_ERA, make_position
from skylarkpost.platform import StoreClient
from standins.common import serving
from standins.store import StoreStandIn

TOPIC = "keyed.op"
RECORD = KeyedRecord("a", b"1")


@contextlib.asynccontextmanager
async def store():
    stand_in = StoreStandIn()
    async with serving(stand_in) as addresses:
        client = StoreClient(address=addresses[0].removeprefix("http://"))
        try:
            yield stand_in, client
        finally:
            await client.close()


async def test_positions_rise_over_a_restore():
    async with store() as (stand_in, client):
        await client.append(TOPIC, [RECORD, RECORD])
        await stand_in.restore({})
        appended = await client.append(TOPIC, [RECORD])
        assert appended == StoreAppended(make_position(1, 0), make_position(1, 1))
        snapshot = await client.newest(TOPIC)
        record = KeyedRecord("a", b"1", make_position(1, 0))
        assert snapshot == KeyedSnapshot((record,), make_position(1, 1))
        read = await client.read(TOPIC, make_position(1, 0), wait=0.0)
        assert read == KeyedRecords((record,), make_position(1, 1))


async def test_a_read_from_before_a_restore_calls_for_a_snapshot():
    async with store() as (stand_in, client):
        await client.append(TOPIC, [RECORD])
        copied = stand_in.copy()
        await stand_in.restore(copied)
        await client.append(TOPIC, [RECORD])
        assert await client.read(TOPIC, 1, wait=0.0) == RecordsTrimmed()


async def test_an_append_that_expects_an_end_of_another_era_is_not_confirmed():
    async with store() as (stand_in, client):
        await client.append(TOPIC, [RECORD])
        copied = stand_in.copy()
        await stand_in.restore(copied)
        # The end is the same offset as before, and the era is not known here yet.
        answer = await client.append(TOPIC, [RECORD], expected_end=1)
        assert isinstance(answer, StoreUnknown)
        calls = stand_in.calls
        answer = await client.append(TOPIC, [RECORD], expected_end=2)
        assert isinstance(answer, StoreUnavailable)
        assert stand_in.calls == calls
        answer = await client.append(TOPIC, [RECORD], expected_end=make_position(1, 0))
        assert answer == StoreConflict(make_position(1, 2))


async def test_a_late_answer_of_an_earlier_era_is_discarded():
    async with store() as (stand_in, client):
        stand_in.era = 3
        await client.append(TOPIC, [RECORD])
        stand_in.era = 2
        assert isinstance(await client.newest(TOPIC), StoreUnavailable)
        assert isinstance(await client.append(TOPIC, [RECORD]), StoreUnknown)
        start = make_position(3, 0)
        answer = await client.read(TOPIC, start, wait=0.0)
        assert isinstance(answer, StoreUnavailable)


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", "9" * 5000, MAX_ERA + 1])
async def test_a_malformed_era_changes_nothing(era, caplog):
    async with store() as (stand_in, client):
        stand_in.era = 1
        await client.append(TOPIC, [RECORD])
        stand_in.era = era
        with caplog.at_level("WARNING"):
            snapshot = await client.newest(TOPIC)
        assert snapshot.end == make_position(1, 1)
        assert "store-era-malformed" in caplog.text


async def read_on_silent_connection(stand_in, client):
    """Silence the connection of a waiting read, then append a record."""
    read = asyncio.create_task(client.read(TOPIC, 1, wait=0.3))
    calls = stand_in.calls
    while stand_in.calls == calls:
        await asyncio.sleep(0.01)
    stand_in.silence_connections()
    await stand_in.put(TOPIC, "b", b"2")
    return await read


async def test_a_read_whose_connection_goes_silent_returns_the_change():
    async with store() as (stand_in, client):
        await client.append(TOPIC, [RECORD])
        answer = await read_on_silent_connection(stand_in, client)
        assert answer == KeyedRecords((KeyedRecord("b", b"2", 1),), 2)


async def test_after_a_silent_read_no_call_uses_a_connection_from_before():
    async with store() as (stand_in, client):
        await asyncio.gather(*(client.append(TOPIC, [RECORD]) for _ in range(5)))
        stand_in.silence_connections()
        answer = await client.newest(TOPIC)
        assert isinstance(answer, KeyedSnapshot)
        for _ in range(4):
            answer = await client.append(TOPIC, [RECORD])
            assert isinstance(answer, StoreAppended)
