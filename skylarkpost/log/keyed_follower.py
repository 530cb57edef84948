"""Follower of a keyed topic of a store."""

import asyncio
import contextlib
import logging
import math

from skylarkpost.eventlog import log_event
from skylarkpost.log.keyed import (
    KeyedRecord,
    KeyedRecords,
    KeyedSnapshot,
    RecordsTrimmed,
    StoreUnavailable,
)
from skylarkpost.log.positions import describe_position, era_of
from skylarkpost.runtime import BackgroundTask

__all__ = ["KeyedFollower"]

logger = logging.getLogger(__name__)

# An empty answer proves that the topic did not change for this fraction of the wait:
# the store answers no sooner, but its clock may run slightly fast.
PROVEN_WAIT_FRACTION = 0.9
# Time that a read of the store may take for a state that must not get older: a read
# on a dead connection is repeated on a new one after half a second.
READ_ALLOWANCE_S = 0.6
# Of a short bound, the part that this time leaves at least.
MIN_USABLE_FRACTION = 0.5
# Of the age until which a state may be used, the part that a read may wait while other
# instances rely on it. The rest is left for their calls.
RELIED_ON_WAIT_FRACTION = 0.6
# Other instances ask at least about once a second.
RELIED_ON_S = 5.0
# Without a bound, an instance whose state is older than the wait by more than this is
# stuck: the part of a wait that proves nothing, a call, and the store's answer.
UNBOUNDED_SLACK_S = 3.0
# A state that is no older than this fraction of the wait counts as new, so that the
# waits of an idle topic are not shortened.
FRESH_FRACTION = 0.25
# Several times the store's usual response time.
FIRST_BACKOFF_S = 0.1
# Entries have to be read within two seconds of the end of an outage.
MAX_BACKOFF_S = 1.0
# A small fraction of the smallest `max_age`.
AGE_CHECK_S = 0.2
# After a restore, instances that could not be reached at first are asked again.
RECALL_INTERVAL_S = 1.0
RECALL_WINDOW_S = 10.0
# Lost keys that are named in the log.
MAX_LOGGED_KEYS = 20


class KeyedFollower:
    """Delivers the changes of a topic in order, never an older one after a newer.

    After a restore of the store the topic is read anew. What the store offers then may
    be older than what is known, and what it has lost is written again only later.

    Parameters
    ----------
    store : object
        Provides ``newest`` and ``read``, see `skylarkpost.platform.StoreClient`.
    topic : str
        Topic to follow.
    clock : callable
        Returns the current time in seconds.
    random : random.Random
        For the jitter of retries.
    on_record : callable
        Takes a `KeyedRecord` and ``now``. An empty value deletes the key. It returns
        False if the value is older than the known one, which then stays known here.
    wait : callable
        Returns the age of the known state, in seconds, until which a read may wait:
        short enough that a dead connection is noticed, long enough that an idle topic
        costs few calls.
    pause : callable or None
        Returns the delay between two reads in seconds, which reduces the calls for
        a busy topic.
    peers : callable or None
        Async; takes the topic and an offset, and returns the `PeerRecords` of an
        instance that has read further, or None. Called while the store cannot be
        read.
    relay : callable or None
        Async; takes the topic, an offset and the age until which records are of use,
        and returns the `PeerRecords` of an instance that reads the store for others,
        or None if this instance has to read the store itself. It saves calls of the
        store.
    bound : callable or None
        Returns the time, in seconds, within which a change has to be in force here.
        Before the known state gets older than that, the store is read, whatever the
        other instances answer. Without it, their records may be older than the wait.
    max_age : float or None
        Maximum age of the known state in seconds, after which peers are queried too:
        a read on a dead connection takes longer to fail.
    on_restore : callable or None
        Takes the era, the time at which the state of the era before was last known to
        be complete, and ``now``. Called before the first record of an era.
    on_lost : callable or None
        Takes a `KeyedRecord` that a restored store lacks, and ``now``. Without it such
        records stay known, until they are written again.
    recall : callable or None
        Async; takes the topic and a position, and returns the `PeerRecords` of all
        instances that answer. Called at the start and after a restore, for values that
        the store has lost; `on_record` has to refuse older values.

    Attributes
    ----------
    next_offset : int or None
        Position of the next record to read; None before a snapshot.
    reached : int
        Highest value of `next_offset` so far, or -1.
    deletions_from : float
        Position from which on all deletions are known: a snapshot doesn't show those
        before it.
    records : dict of str to KeyedRecord
        Newest record of each key, including deleted keys.
    fresh_at : float
        Latest time at which the known state was the complete topic, in seconds of
        `clock`.
    relied_on_at : float
        When another instance last asked for records of the topic, in seconds.
    available : bool
        Whether the last call to the store succeeded.
    reconnected_at : float
        When the store was last reachable again after an outage.
    """

    def __init__(
        self,
        *,
        store,
        topic,
        clock,
        random,
        on_record,
        wait,
        pause=None,
        peers=None,
        relay=None,
        bound=None,
        max_age=None,
        on_restore=None,
        on_lost=None,
        recall=None,
    ):
        self.store = store
        self.topic = topic
        self.clock = clock
        self.random = random
        self.on_record = on_record
        self.wait = wait
        self.pause = pause
        self.peers = peers
        self.relay = relay
        self.bound = bound
        self.max_age = max_age
        self.on_restore = on_restore
        self.on_lost = on_lost
        self.recall = recall
        self.recall_from = None
        self.recall_until = -math.inf
        self.recalled_at = -math.inf
        self.next_offset = None
        self.reached = -1
        self.deletions_from = math.inf
        self.fresh_at = -math.inf
        self.relied_on_at = -math.inf
        self.available = False
        self.reconnected_at = -math.inf
        self.lost_at = None
        self.records = {}
        self.synced = asyncio.Event()
        self.advanced = asyncio.Event()
        self.background = BackgroundTask(name=f"follow-{topic}")
        self.age_monitor = BackgroundTask(name=f"watch-{topic}")

    def start(self):
        """Start following."""
        self.background.start(self._run())
        if self.max_age is not None:
            self.age_monitor.start(self._monitor_age())

    async def stop(self):
        """Stop following."""
        await self.background.stop()
        await self.age_monitor.stop()

    async def catch_up(self):
        """Read once without waiting, to reach the current end of the topic.

        Returns
        -------
        bool
            Whether the end of the topic was reached.
        """
        began = self.clock()
        if self.next_offset is None:
            return False
        answer = await self.store.read(self.topic, self.next_offset, wait=0.0)
        if not isinstance(answer, KeyedRecords):
            return False
        self._apply_records(answer, began)
        return self.fresh_at >= began

    async def wait_for_update(self, start, wait):
        """Wait until records from an offset on have been received.

        Parameters
        ----------
        start : int
            Return at once if a record at or after this offset is known.
        wait : float
            Timeout, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while self.next_offset is None or self.next_offset <= start:
                    await self.advanced.wait()

    def age(self, now):
        """Return how old the known state is.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float or None
            Seconds since the known state was the complete topic; None before.
        """
        return now - self.fresh_at if math.isfinite(self.fresh_at) else None

    def note_relied_on(self, now):
        """Record that another instance asked for records of the topic.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        self.relied_on_at = now

    def _usable_age(self):
        """Return the age until which records of another instance are of use."""
        if self.bound is None:
            return self.wait() + UNBOUNDED_SLACK_S
        bound = self.bound()
        return max(MIN_USABLE_FRACTION * bound, bound - READ_ALLOWANCE_S)

    async def _run(self):
        backoff = FIRST_BACKOFF_S
        while True:
            if await self._step_by_relay():
                backoff = FIRST_BACKOFF_S
                await self._recall_if_due()
                continue
            began = self.clock()
            answered = await self.step()
            read_s = self.clock() - began
            await self._recall_if_due()
            if answered:
                backoff = FIRST_BACKOFF_S
                # An idle topic needs no pause, which would only add to the age.
                if self.pause is not None and read_s < self.pause():
                    await asyncio.sleep(self.pause())
                continue
            await self.query_peers()
            await asyncio.sleep(backoff * self.random.uniform(0.5, 1.0))
            backoff = min(MAX_BACKOFF_S, 2 * backoff)

    async def _monitor_age(self):
        while True:
            await asyncio.sleep(AGE_CHECK_S)
            if self.clock() - self.fresh_at > max(
                self.max_age, self.wait() + AGE_CHECK_S
            ):
                await self.query_peers()

    async def _step_by_relay(self):
        if self.relay is None or self.next_offset is None:
            return False
        requested_at = self.clock()
        answer = await self._query_relay(requested_at)
        if answer is None or answer.end < self.reached:
            return False
        if self.lost_at is not None:
            self._note_answered()
        self._apply_peer_records(answer, requested_at)
        return True

    async def _query_relay(self, now):
        usable_age = self._usable_age()
        if self.bound is None or self.lost_at is not None:
            return await self.relay(self.topic, self.next_offset, usable_age)
        seconds_left = self.fresh_at + usable_age - now
        if seconds_left <= 0.0:
            return None
        try:
            async with asyncio.timeout(seconds_left):
                return await self.relay(self.topic, self.next_offset, usable_age)
        except TimeoutError:
            log_event(
                logger,
                "topic-relay-late",
                topic=self.topic,
                knowledge_age=self.age(self.clock()),
                bound=self.bound(),
            )
            return None

    async def step(self):
        """Read the store once, and apply its answer.

        Returns
        -------
        bool
            Whether the store gave an answer that could be used.
        """
        began = self.clock()
        wait = 0.0
        if self.next_offset is None:
            answer = await self.store.newest(self.topic)
        else:
            # After an outage the first read returns at once, so that its end is noticed.
            wait = self._read_wait(began) if self.lost_at is None else 0.0
            answer = await self.store.read(self.topic, self.next_offset, wait=wait)
        if isinstance(answer, StoreUnavailable):
            self._note_lost(answer.detail, began)
            return False
        self._note_answered()
        if isinstance(answer, RecordsTrimmed):
            self.next_offset = None
            return True
        if isinstance(answer, KeyedSnapshot):
            return self._apply_snapshot(answer, began)
        proven = 0.0 if answer.records else PROVEN_WAIT_FRACTION * wait
        self._apply_records(answer, began + proven)
        return True

    def _read_wait(self, now):
        """Return how long a read may wait until the known state is too old."""
        wait = self.wait()
        if self.bound is not None and now - self.relied_on_at < RELIED_ON_S:
            wait = min(wait, RELIED_ON_WAIT_FRACTION * self._usable_age())
        age = now - self.fresh_at
        if age <= FRESH_FRACTION * wait:
            return wait
        return max(0.0, min(wait, self._usable_age()) - age)

    def _apply_records(self, answer, fresh_at):
        now = self.clock()
        for record in answer.records:
            if self.next_offset is not None and record.offset < self.next_offset:
                continue
            self._deliver(record, now)
            self._reach(record.offset + 1)
        if self._is_of_era(answer.end) and self.next_offset >= answer.end:
            self.fresh_at = max(self.fresh_at, min(now, fresh_at))
            self._note_advanced()

    def _apply_snapshot(self, answer, began):
        is_outdated = answer.end < self.reached
        if is_outdated or any(
            answer.end <= known.offset for known in self.records.values()
        ):
            log_event(
                logger,
                "snapshot-outdated",
                topic=self.topic,
                end_offset=describe_position(answer.end),
            )
            return False
        now = self.clock()
        present = {record.key for record in answer.records}
        self._enter_era(answer.end, present, now)
        self._delete_missing(present, answer.end, now)
        self._apply_newest(answer.records, now)
        self._reach(answer.end)
        self.deletions_from = answer.end
        self.fresh_at = max(self.fresh_at, began)
        self._note_advanced()
        return True

    def _delete_missing(self, present, end, now):
        for key, known in list(self.records.items()):
            is_of_era = era_of(known.offset) == era_of(end)
            if known.value and is_of_era and key not in present:
                self._deliver(KeyedRecord(key, b"", end - 1), now)

    def _apply_newest(self, records, now):
        for record in sorted(records, key=lambda each: each.offset):
            known = self.records.get(record.key)
            if known is None or record.offset > known.offset:
                self._deliver(record, now)

    def _deliver(self, record, now):
        try:
            is_taken = self.on_record(record, now) is not False
        except AssertionError:
            raise
        except Exception as error:
            # One record must not hide those that come after it.
            log_event(
                logger,
                "record-failed",
                level=logging.ERROR,
                topic=self.topic,
                key=record.key,
                offset=describe_position(record.offset),
                error=repr(error),
            )
            is_taken = True
        known = self.records.get(record.key)
        if not is_taken and known is not None and known.value:
            record = record._replace(value=known.value)
        self.records[record.key] = record

    def _enter_era(self, end, present, now):
        """Prepare for records of a new era; `present` are the keys that it has."""
        if self.reached >= 0 and era_of(end) <= era_of(self.reached):
            return
        if self.reached >= 0:
            lost = sorted(self.records.keys() - present)
            log_event(
                logger,
                "topic-restored",
                level=logging.WARNING,
                topic=self.topic,
                reached=describe_position(self.reached),
                end=describe_position(end),
                lost=len(lost),
                keys=",".join(lost[:MAX_LOGGED_KEYS]) or None,
            )
        if self.on_restore is not None:
            self.on_restore(era_of(end), self.fresh_at, now)
        if self.recall is not None:
            self.recall_from = self.reached
            self.recall_until = now + RECALL_WINDOW_S
        for key, known in list(self.records.items()):
            if key in present:
                continue
            if not known.value:
                del self.records[key]
            elif self.on_lost is not None:
                del self.records[key]
                self.on_lost(known, now)

    async def _recall_if_due(self):
        """Ask other instances for values that a restored store has lost."""
        if self.recall_from is None:
            return
        now = self.clock()
        if now > self.recall_until:
            self.recall_from = None
        elif now - self.recalled_at >= RECALL_INTERVAL_S:
            self.recalled_at = now
            answers = await self.recall(self.topic, self.recall_from)
            for answer in answers:
                self._apply_recalled(answer.records)
            if answers:
                self.recall_from = None
        if not self.synced.is_set():
            self._note_advanced()

    def _apply_recalled(self, records):
        now = self.clock()
        for record in records:
            known = self.records.get(record.key)
            if not record.value or (known is not None and known.value == record.value):
                continue
            if known is not None and not known.value and known.offset > record.offset:
                # Deleted since.
                continue
            if known is None and self._is_below_snapshot(record.offset):
                # The snapshot of its era lacks it: deleted before.
                continue
            if self.on_record(record, now) is not False:
                log_event(
                    logger,
                    "record-recalled",
                    topic=self.topic,
                    key=record.key,
                    offset=describe_position(record.offset),
                )
                offset = record.offset
                if known is not None:
                    offset = max(known.offset, record.offset)
                self.records[record.key] = record._replace(offset=offset)

    async def query_peers(self):
        """Ask another instance for its records, and apply its answer."""
        if self.peers is None:
            return
        start = -1 if self.next_offset is None else self.next_offset
        requested_at = self.clock()
        answer = await self.peers(self.topic, start)
        if answer is None or self.reached > answer.end:
            return
        self._apply_peer_records(answer, requested_at)

    def _apply_peer_records(self, answer, requested_at):
        now = self.clock()
        # The answer holds all records of an era that is new here.
        era = era_of(answer.end)
        present = {each.key for each in answer.records if era_of(each.offset) == era}
        self._enter_era(answer.end, present, now)
        if answer.has_all_keys:
            self._delete_missing(present, answer.end, now)
            self.deletions_from = answer.end
        self._apply_newest(answer.records, now)
        self._reach(answer.end)
        self.fresh_at = max(self.fresh_at, requested_at - answer.age)
        self._note_advanced()

    def _is_below_snapshot(self, position):
        return self._is_of_era(position) and position < self.deletions_from < math.inf

    def _is_of_era(self, position):
        if self.next_offset is None:
            return False
        return era_of(position) == era_of(self.next_offset)

    def _reach(self, position):
        self.next_offset = position
        self.reached = max(self.reached, position)

    def _note_advanced(self):
        if self.recall_from is None or self.recalled_at > -math.inf:
            self.synced.set()
        self.advanced.set()
        self.advanced = asyncio.Event()

    def _note_lost(self, detail, began):
        if self.lost_at is None:
            self.lost_at = self.clock()
            log_event(
                logger,
                "store-lost",
                level=logging.WARNING,
                topic=self.topic,
                detail=detail,
                next_offset=describe_position(self.next_offset),
                waited=self.lost_at - began,
                knowledge_age=self.age(self.lost_at),
            )
        self.available = False

    def _note_answered(self):
        self.available = True
        if self.lost_at is not None:
            now = self.clock()
            log_event(
                logger, "store-regained", topic=self.topic, after=now - self.lost_at
            )
            self.reconnected_at = now
            self.lost_at = None
