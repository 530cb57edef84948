"""Queries of several followers in one call to the instance that reads for them."""

import asyncio

from skylarkpost.gateway.reader_queries import ReaderQueries
from skylarkpost.log.keyed import PeerRecords
from skylarkpost.log.readers import Reader

READER = Reader("i-1", "i-1:1")


class Peer:
    def __init__(self, *, answers=None, reader=READER):
        self.answers = answers
        self.reader = reader
        self.calls = []
        self.failed = []
        self.now = 10.0
        self.queries = ReaderQueries(
            find_reader=lambda now: self.reader,
            ask=self.ask,
            note_failed=lambda instance, now: self.failed.append(instance),
            clock=lambda: self.now,
        )

    async def ask(self, address, starts, wait):
        self.calls.append(dict(starts))
        await asyncio.sleep(0)
        if self.answers is None:
            return None
        return {topic: self.answers.get(topic) for topic in starts}


async def test_followers_that_ask_together_share_one_call():
    peer = Peer(answers={"a": PeerRecords((), 5, 0.1), "b": PeerRecords((), 7, 0.2)})
    first, second = await asyncio.gather(
        peer.queries.query("a", 5, 2.0), peer.queries.query("b", 7, 2.0)
    )
    assert peer.calls == [{"a": 5, "b": 7}]
    assert (first.end, second.end) == (5, 7)


async def test_a_topic_that_the_reader_cannot_serve_is_read_at_the_store():
    peer = Peer(answers={"a": PeerRecords((), 5, 0.1)})
    first, second = await asyncio.gather(
        peer.queries.query("a", 5, 2.0), peer.queries.query("b", 7, 2.0)
    )
    assert first.end == 5
    assert second is None
    assert peer.failed == []


async def test_all_topics_are_read_at_the_store_after_a_reader_failed():
    peer = Peer()
    answers = await asyncio.gather(
        peer.queries.query("a", 5, 2.0), peer.queries.query("b", 7, 2.0)
    )
    assert answers == [None, None]
    assert peer.failed == ["i-1"]


async def test_a_reader_with_outdated_records_is_passed_over():
    peer = Peer(answers={"a": PeerRecords((), 5, 3.5)})
    assert await peer.queries.query("a", 5, 2.0) is None
    assert peer.failed == ["i-1"]


async def test_the_age_counts_from_the_call_not_from_the_question():
    peer = Peer(answers={"a": PeerRecords((), 5, 0.5)})
    task = asyncio.ensure_future(peer.queries.query("a", 5, 2.0))
    await asyncio.sleep(0)
    peer.now += 0.2
    answer = await task
    # Fresh at 10.2 - 0.5, told relative to the question at 10.0.
    assert abs(answer.age - 0.3) < 1e-9


async def test_an_instance_without_reader_reads_at_once():
    peer = Peer(reader=None)
    assert await peer.queries.query("a", 5, 2.0) is None
    assert peer.calls == []


async def test_a_failed_round_does_not_end_the_queries():
    peer = Peer(answers={"a": PeerRecords((), 5, 0.1)})
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context["message"]))
    ask = peer.queries.ask

    async def fail(address, starts, wait):
        raise ValueError("unreadable")

    peer.queries.ask = fail
    assert await peer.queries.query("a", 5, 2.0) is None
    peer.queries.ask = ask
    await asyncio.sleep(0)
    peer.now += 1.0
    answer = await asyncio.wait_for(peer.queries.query("a", 5, 2.0), 3)
    assert answer.end == 5
    assert errors == ["reader queries failed"]
