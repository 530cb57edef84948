"""Follows a topic of the store's stand-in over HTTP, including its faults."""

import asyncio
import contextlib
import random
import time

import pytest

from skylarkpost.gateway.fleet import peer_records, topic_answer
from skylarkpost.log.keyed import (
    KeyedRecord,
    KeyedRecords,
    KeyedSnapshot,
    PeerRecords,
    StoreAppended,
    StoreConflict,
    StoreUnavailable,
    StoreUnknown,
)
from skylarkpost.log.keyed_follower import KeyedFollower
from skylarkpost.log.positions import make_position
from skylarkpost.platform import StoreClient
from standins.common import serving
from standins.store import StoreStandIn

TOPIC = "keyed.op"


@contextlib.asynccontextmanager
async def store():
    stand_in = StoreStandIn()
    async with serving(stand_in) as addresses:
        client = StoreClient(address=addresses[0].removeprefix("http://"))
        try:
            yield stand_in, client
        finally:
            await client.close()


@contextlib.asynccontextmanager
async def following(client, **options):
    seen = {}

    def note(record, now):
        seen[record.key] = record.value

    follower = KeyedFollower(
        store=client,
        topic=TOPIC,
        clock=time.monotonic,
        random=random.Random(1),
        on_record=note,
        wait=lambda: 0.2,
        **options,
    )
    follower.start()
    try:
        yield follower, seen
    finally:
        await follower.stop()


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_an_append_with_another_expected_end_is_a_conflict():
    async with store() as (stand_in, client):
        record = KeyedRecord("a", b"1")
        assert await client.append(TOPIC, [record]) == StoreAppended(0, 1)
        again = await client.append(TOPIC, [record, record], expected_end=1)
        assert again == StoreAppended(1, 3)
        assert await client.append(TOPIC, [record], expected_end=1) == StoreConflict(3)
        stand_in.switches.lose_appends = 1
        assert isinstance(await client.append(TOPIC, [record]), StoreUnknown)
        stand_in.switches.busy = True
        assert isinstance(await client.append(TOPIC, [record]), StoreUnavailable)
        assert stand_in.topics[TOPIC].end_offset == 4


async def test_a_snapshot_of_many_pages_is_complete():
    async with store() as (stand_in, client):
        for number in range(1203):
            await stand_in.put(TOPIC, f"k{number:04}", b"v")
        snapshot = await client.newest(TOPIC)
        assert len(snapshot.records) == 1203
        assert snapshot.end == 1203


async def test_each_change_is_delivered_in_order():
    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        async with following(client) as (follower, seen):
            await wait_until(lambda: seen == {"a": b"1"})
            await stand_in.put(TOPIC, "a", b"2")
            await stand_in.put(TOPIC, "b", b"1")
            await wait_until(lambda: seen == {"a": b"2", "b": b"1"})
            await stand_in.put(TOPIC, "a", b"")
            await wait_until(lambda: seen["a"] == b"")
            assert follower.next_offset == 4


async def test_a_snapshot_replaces_trimmed_records():
    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        await stand_in.put(TOPIC, "b", b"1")
        async with following(client) as (follower, seen):
            await wait_until(lambda: len(seen) == 2)
            stand_in.switches.busy = True
            await wait_until(lambda: not follower.available)
            await stand_in.put(TOPIC, "a", b"")
            await stand_in.put(TOPIC, "b", b"2")
            stand_in.topics[TOPIC].truncate()
            stand_in.switches.busy = False
            await wait_until(lambda: seen == {"a": b"", "b": b"2"})


async def test_a_snapshot_that_lags_behind_changes_nothing():
    class Lagging:
        snapshots = [
            KeyedSnapshot((KeyedRecord("a", b"2", 5),), 6),
            KeyedSnapshot((KeyedRecord("a", b"1", 1),), 2),
            KeyedSnapshot((KeyedRecord("a", b"3", 8),), 9),
        ]

        async def newest(self, topic):
            return self.snapshots.pop(0)

        async def read(self, topic, start, *, wait):
            await asyncio.sleep(0.01)
            return KeyedRecords((), start)

    async with following(Lagging()) as (follower, seen):
        await wait_until(lambda: seen == {"a": b"2"})
        follower.next_offset = None
        await wait_until(lambda: seen == {"a": b"3"})


async def test_peers_are_asked_while_the_store_is_away():
    async def peers(topic, start):
        assert (topic, start) == (TOPIC, -1)
        return PeerRecords((KeyedRecord("a", b"1", 3),), 4, 0.5)

    async with store() as (stand_in, client):
        stand_in.switches.busy = True
        async with following(client, peers=peers) as (follower, seen):
            await wait_until(lambda: seen == {"a": b"1"})
            assert follower.next_offset == 4
            assert time.monotonic() - follower.fresh_at >= 0.5


async def test_freshness_ages_while_the_store_is_silent():
    async with (
        store() as (stand_in, client),
        following(client) as (follower, _),
    ):
        await wait_until(lambda: time.monotonic() - follower.fresh_at < 0.2)
        stand_in.switches.silent = True
        await wait_until(lambda: time.monotonic() - follower.fresh_at > 0.6)
        stand_in.switches.silent = False


@pytest.mark.parametrize("age", [0.0, 7.0])
async def test_a_peer_that_lags_behind_is_ignored(age):
    async def peers(topic, start):
        return PeerRecords((KeyedRecord("a", b"old", 0),), 1, age)

    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        await stand_in.put(TOPIC, "a", b"2")
        async with following(client, peers=peers) as (follower, seen):
            await wait_until(lambda: seen == {"a": b"2"})
            stand_in.switches.busy = True
            await wait_until(lambda: not follower.available)
            await asyncio.sleep(0.1)
            assert seen == {"a": b"2"}
            assert follower.next_offset == 2


async def test_a_reader_of_the_topic_saves_calls_of_the_store():
    updates = asyncio.Queue()

    async def relay(topic, start, wait):
        return await updates.get()

    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        async with following(client, relay=relay) as (follower, seen):
            await wait_until(lambda: seen == {"a": b"1"})
            calls = stand_in.calls
            updates.put_nowait(PeerRecords((KeyedRecord("a", b"2", 1),), 2, -0.1))
            await wait_until(lambda: seen == {"a": b"2"})
            assert stand_in.calls == calls
            assert follower.next_offset == 2
            # Without a reader this instance reads the store itself.
            await stand_in.put(TOPIC, "a", b"2")
            await stand_in.put(TOPIC, "a", b"3")
            updates.put_nowait(None)
            await wait_until(lambda: seen == {"a": b"3"})


async def test_a_reader_that_lags_behind_is_ignored():
    async def relay(topic, start, wait):
        return PeerRecords((KeyedRecord("a", b"old", 0),), 1, 0.0)

    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        await stand_in.put(TOPIC, "a", b"2")
        async with following(client, relay=relay) as (follower, seen):
            await wait_until(lambda: seen == {"a": b"2"})
            await stand_in.put(TOPIC, "a", b"3")
            await wait_until(lambda: seen == {"a": b"3"})
            assert follower.next_offset == 3


async def test_an_update_ends_a_wait_for_it():
    async with (
        store() as (stand_in, client),
        following(client) as (follower, seen),
    ):
        await wait_until(lambda: follower.next_offset == 0)
        waiting = asyncio.create_task(follower.wait_for_update(0, 30.0))
        await stand_in.put(TOPIC, "a", b"1")
        async with asyncio.timeout(5):
            await waiting
        await wait_until(lambda: seen == {"a": b"1"})
        async with asyncio.timeout(5):
            await follower.wait_for_update(0, 30.0)


async def test_a_record_at_an_offset_used_before_a_restore_is_delivered():
    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        copied = stand_in.copy()
        await stand_in.put(TOPIC, "a", b"2")
        async with following(client) as (_, seen):
            await wait_until(lambda: seen == {"a": b"2"})
            await stand_in.restore(copied)
            await stand_in.put(TOPIC, "a", b"3")
            await wait_until(lambda: seen == {"a": b"3"})


async def test_restores_in_quick_succession_lose_no_record():
    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        copied = stand_in.copy()
        async with following(client) as (_, seen):
            await wait_until(lambda: seen == {"a": b"1"})
            for number in range(2, 6):
                await stand_in.put(TOPIC, "a", b"lost")
                await stand_in.restore(copied)
                await stand_in.put(TOPIC, "b", str(number).encode())
                await asyncio.sleep(0.01 * number)
            await wait_until(lambda: seen.get("b") == b"5")


async def test_a_topic_shorter_after_a_restore_is_followed_at_once():
    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        copied = stand_in.copy()
        for number in range(50):
            await stand_in.put(TOPIC, "b", str(number).encode())
        async with following(client) as (_, seen):
            await wait_until(lambda: seen.get("b") == b"49")
            await stand_in.restore(copied)
            await stand_in.put(TOPIC, "c", b"1")
            await wait_until(lambda: seen.get("c") == b"1")
            calls = stand_in.calls
            await asyncio.sleep(0.3)
            assert stand_in.calls - calls < 6


async def test_a_value_that_only_others_know_after_a_restore_is_recalled():
    """An instance that starts after the restore reads the older value alone."""
    newest = {}
    asked = []

    def take_newer(record, now):
        if record.value <= newest.get(record.key, b""):
            return False
        newest[record.key] = record.value
        return True

    async def recall(topic, start):
        asked.append(start)
        if len(asked) == 1:
            return []
        return [PeerRecords((KeyedRecord("a", b"9", 7),), 8, 0.0)]

    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"5")
        copied = stand_in.copy()
        await stand_in.restore(copied)
        async with following(client, recall=recall) as (follower, _):
            follower.on_record = take_newer
            await wait_until(lambda: newest.get("a") == b"5")
            await wait_until(follower.synced.is_set)
            await wait_until(lambda: newest.get("a") == b"9")
            assert follower.records["a"].value == b"9"
            assert asked == [-1, -1]
            # What the store offers is older; other instances get the newer value.
            await stand_in.restore(copied)
            await wait_until(lambda: len(asked) == 3)
            assert follower.records["a"].value == b"9"
            await stand_in.put(TOPIC, "a", b"95")
            await wait_until(lambda: newest.get("a") == b"95")


async def test_a_deleted_value_is_not_recalled_from_an_instance_that_lags():
    async def recall(topic, start):
        return [PeerRecords((KeyedRecord("a", b"1", 0),), 1, 0.0)]

    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        await stand_in.put(TOPIC, "a", b"")
        await stand_in.put(TOPIC, "b", b"2")
        async with following(client, recall=recall) as (follower, seen):
            await wait_until(follower.synced.is_set)
            await wait_until(lambda: follower.recall_from is None)
            assert "a" not in seen
            assert seen["b"] == b"2"


async def test_records_that_a_restored_store_lacks_are_told_as_lost():
    lost = []

    def note_lost(record, now):
        lost.append(record.key)

    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "a", b"1")
        copied = stand_in.copy()
        await stand_in.put(TOPIC, "b", b"1")
        async with following(client, on_lost=note_lost) as (_, seen):
            await wait_until(lambda: len(seen) == 2)
            await stand_in.restore(copied)
            await wait_until(lambda: lost == ["b"])
            assert seen == {"a": b"1", "b": b"1"}


async def test_an_instance_without_the_store_hears_of_a_restore_from_a_peer():
    answers = [
        PeerRecords((KeyedRecord("a", b"1", 70), KeyedRecord("b", b"1", 71)), 72, 0.0),
        PeerRecords(
            (KeyedRecord("a", b"2", make_position(1, 4)),), make_position(1, 5), 0.0
        ),
        PeerRecords((KeyedRecord("a", b"old", 80),), 90, 0.0),
    ]
    restores, lost = [], []

    async def peers(topic, start):
        return answers.pop(0) if len(answers) > 1 else answers[0]

    async with store() as (stand_in, client):
        stand_in.switches.busy = True
        async with following(
            client,
            peers=peers,
            on_restore=lambda era, known_at, now: restores.append(era),
            on_lost=lambda record, now: lost.append(record.key),
        ) as (follower, seen):
            await wait_until(lambda: follower.reached == make_position(1, 5))
            await asyncio.sleep(0.3)
            assert seen == {"a": b"2", "b": b"1"}
            assert lost == ["b"]
            assert restores == [0, 1]
            assert follower.next_offset == make_position(1, 5)


async def test_a_younger_peer_tells_of_a_key_that_was_deleted_before_it_started():
    """Guards against targets that stay in use where only younger peers are reached."""
    async with store() as (stand_in, client):
        await stand_in.put(TOPIC, "gone", b"1")
        await stand_in.put(TOPIC, "kept", b"1")
        async with following(client) as (elder, seen):
            await wait_until(lambda: len(seen) == 2)
            await elder.stop()
            await stand_in.put(TOPIC, "gone", b"")
            await stand_in.put(TOPIC, "new", b"1")
            async with following(client) as (younger, seen_there):
                await wait_until(lambda: len(seen_there) == 2)

                async def ask_younger(topic, start):
                    answer = topic_answer(younger, start, time.monotonic())
                    return peer_records(answer)

                elder.peers = ask_younger
                await elder.query_peers()
            assert seen == {"gone": b"", "kept": b"1", "new": b"1"}


@pytest.mark.parametrize(
    ("age", "wait"), [(0.0, 2.0), (0.4, 2.0), (1.5, 0.5), (9.0, 0.0)]
)
async def test_a_read_waits_no_longer_than_the_known_state_may_age(age, wait):
    """Guards against a long read after a reader for this instance has failed.

    On a dead connection it would add its whole wait to the age of the state.
    """
    waits = []

    class Store:
        async def read(self, topic, start, *, wait):
            waits.append(wait)
            return KeyedRecords((), start)

    follower = KeyedFollower(
        store=Store(),
        topic=TOPIC,
        clock=lambda: 100.0,
        random=random.Random(1),
        on_record=lambda record, now: True,
        wait=lambda: 2.0,
    )
    follower.next_offset = 0
    follower.fresh_at = 100.0 - age
    await follower.step()
    assert waits == [wait]
