"""Combines the queries of all followers to the instance that reads for them."""

import asyncio
import logging
import math
from typing import NamedTuple

from skylarkpost.eventlog import log_event

__all__ = ["ReaderQueries", "TopicQuery"]

logger = logging.getLogger(__name__)

# A query to a frozen reader and one to the next reader must both end well before a
# change has to be in force.
RELAY_WAIT_S = 1.0
# Of the age until which records are of use; the rest is left for the age that they
# have at the reader.
RELAY_WAIT_FRACTION = 0.24
# A reader is stuck if its records are older than of use by more than this; until others
# rely on it, it reads an idle topic rarely.
STUCK_SLACK_S = 1.0
# Followers that were answered together ask again together.
MIN_ROUND_S = 0.25


class TopicQuery(NamedTuple):
    """A follower's query.

    Attributes
    ----------
    start : int
        First offset wanted.
    usable_age : float
        Age until which records are of use, in seconds.
    asked_at : float
        When the follower asked, in seconds.
    answer : asyncio.Future
        Receives `PeerRecords`, or None if the instance has to read the store.
    """

    start: int
    usable_age: float
    asked_at: float
    answer: asyncio.Future


class ReaderQueries:
    """Queries of the followers of one instance, sent in one call.

    Load pattern: many instances that wait for changes of several topics, nearly
    always in vain. One call a second carries all topics.

    Parameters
    ----------
    find_reader : callable
        Takes ``now`` and returns the `Reader` to ask, or None.
    ask : callable
        Async; takes the reader's address, the first offset by topic and the wait in
        seconds, and returns the `PeerRecords` or None by topic, or None.
    note_failed : callable
        Takes an instance and ``now``, after it has not answered in time.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(self, *, find_reader, ask, note_failed, clock):
        self.find_reader = find_reader
        self.ask = ask
        self.note_failed = note_failed
        self.clock = clock
        self.pending = {}
        self.task = None
        self.last_round_at = -math.inf

    async def query(self, topic, start, usable_age):
        """Wait for new records of a topic at the reader.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            First offset wanted.
        usable_age : float
            Age until which records are of use, in seconds. An older answer counts as
            none.

        Returns
        -------
        PeerRecords or None
            None if this instance has to read the store itself.
        """
        now = self.clock()
        if self.find_reader(now) is None:
            return None
        answer = asyncio.get_running_loop().create_future()
        self.pending[topic] = TopicQuery(start, usable_age, now, answer)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run(), name="reader-queries")
            self.task.add_done_callback(_report_failure)
        return await answer

    async def stop(self):
        """Stop asking; the followers have stopped before."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
            self.task = None

    async def _run(self):
        while self.pending:
            pause = self.last_round_at + MIN_ROUND_S - self.clock()
            await asyncio.sleep(max(0.0, pause))
            self.last_round_at = self.clock()
            await self._run_round()
            # Lets the followers that were answered ask again.
            await asyncio.sleep(0)

    async def _run_round(self):
        queries, self.pending = self.pending, {}
        sent_at = self.clock()
        reader = self.find_reader(sent_at)
        answers = None
        try:
            if reader is not None:
                starts = {topic: query.start for topic, query in queries.items()}
                shortest_age = min(query.usable_age for query in queries.values())
                wait = min(RELAY_WAIT_S, RELAY_WAIT_FRACTION * shortest_age)
                answers = await self.ask(reader.address, starts, wait)
                if answers is None:
                    self._note_failed(reader, ",".join(sorted(queries)), None)
        finally:
            answered_at = self.clock()
            for topic, query in queries.items():
                answer = None if answers is None else answers.get(topic)
                if answer is not None:
                    age = answer.age + answered_at - sent_at
                    if age > query.usable_age:
                        answer = None
                    if age > query.usable_age + STUCK_SLACK_S:
                        self._note_failed(reader, topic, age)
                self._resolve(query, answer, sent_at)

    def _resolve(self, query, answer, sent_at):
        if query.answer.done():
            return
        if answer is not None:
            # The age counts from the follower's question, which was sent later.
            delay = sent_at - query.asked_at
            answer = answer._replace(age=answer.age - delay)
        query.answer.set_result(answer)

    def _note_failed(self, reader, topic, age):
        self.note_failed(reader.instance, self.clock())
        log_event(
            logger,
            "topic-reader-failed",
            topic=topic,
            reader=reader.instance,
            age=age,
        )


def _report_failure(task):
    if task.cancelled() or task.exception() is None:
        return
    context = {"message": "reader queries failed", "exception": task.exception()}
    task.get_loop().call_exception_handler(context)
