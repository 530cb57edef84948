import dataclasses
import random

import pytest

from skylarkpost.log import LogFollower, LogRecord, LogUnavailable, Records


class FakeLog:
    def __init__(self, clock):
        self.clock = clock
        self.records = []
        self.first = 0
        self.down = False
        self.limit = 500
        self.reads = []

    async def read(self, stream, *, from_offset, limit, wait):
        self.reads.append((self.clock.now, from_offset))
        self.clock.now += wait
        if self.down:
            return LogUnavailable(detail="down")
        start = max(from_offset, self.first)
        piece = self.records[start : start + self.limit]
        return Records(
            first_offset=self.first, next_offset=len(self.records), records=piece
        )

    def add(self, count, kind="a"):
        for _ in range(count):
            offset = len(self.records)
            data = {"type": kind, "n": offset}
            self.records.append(LogRecord(offset, 0.0, data))


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def build(**options):
    clock = Clock()
    log = FakeLog(clock)
    follower = LogFollower(
        log=log, stream="state", clock=clock, random=random.Random(1), **options
    )
    seen = []
    follower.subscribe("a", lambda record, offset, time, now: seen.append(offset))
    return clock, log, follower, seen


async def test_records_are_delivered_once_and_in_order_despite_short_answers_and_outages():
    _, log, follower, seen = build()
    log.limit = 3
    log.add(8)
    log.add(1, kind="b")
    for down in (False, True, False, True, False, False):
        log.down = down
        await follower.read_once()
    assert seen == list(range(8))
    assert follower.applied_offset == 9


async def test_freshness_is_the_start_of_a_read_that_reached_the_end():
    clock, log, follower, _ = build()
    log.limit = 2
    log.add(3)
    await follower.read_once()
    assert follower.fresh_at is None
    started = clock.now
    await follower.read_once()
    assert follower.fresh_at == started
    log.down = True
    await follower.read_once()
    assert follower.fresh_at == started


async def test_unread_records_deleted_by_retention_are_reported():
    gaps = []
    _, log, follower, seen = build(on_gap=lambda *gap: gaps.append(gap))
    log.add(10)
    log.first = 6
    await follower.read_once()
    assert gaps == [(0, 6)]
    assert seen == [6, 7, 8, 9]


async def test_an_answer_to_a_read_before_a_snapshot_is_dropped():
    _, log, follower, seen = build()
    log.add(5)
    reading = follower.read_once()
    original = log.read

    async def read_and_skip(*args, **kwargs):
        answer = await original(*args, **kwargs)
        follower.skip_to(4)
        return answer

    log.read = read_and_skip
    await reading
    assert seen == []
    await follower.read_once()
    assert seen == [4]
    follower.skip_to(1)
    assert follower.applied_offset == 5


async def test_backoff_grows_with_jitter_up_to_a_bound():
    _, log, follower, _ = build()
    log.down = True
    pauses = [await follower.read_once() for _ in range(12)]
    assert 0.025 <= pauses[0] <= 0.05
    assert all(1.0 <= pause <= 2.0 for pause in pauses[-4:])
    assert len(set(pauses)) == len(pauses)
    log.down = False
    assert await follower.read_once() == 0.0


async def test_a_malformed_record_is_counted_and_skipped():
    _, log, follower, seen = build()
    follower.subscribe("b", lambda record, *_: record["absent"])
    log.add(1)
    log.add(1, kind="b")
    log.add(1, kind=["no", "name"])
    log.add(1)
    await follower.read_once()
    assert seen == [0, 3]
    assert (follower.malformed, follower.applied_offset) == (1, 4)


async def test_a_broken_invariant_is_not_counted_as_a_malformed_record():
    def break_invariant(*_):
        raise AssertionError

    _, log, follower, _ = build()
    follower.subscribe("b", break_invariant)
    log.add(1, kind="b")
    with pytest.raises(AssertionError):
        await follower.read_once()


async def test_a_record_that_cannot_be_decoded_costs_only_itself():
    """Guards against one odd record that stops whoever follows the log."""
    _, log, follower, seen = build()
    log.add(8)
    read = log.read

    async def read_strictly(stream, *, from_offset, limit, wait):
        if from_offset <= 4 < from_offset + limit:
            return LogUnavailable(detail="nested too deeply", is_malformed=True)
        answer = await read(stream, from_offset=from_offset, limit=limit, wait=wait)
        return dataclasses.replace(answer, records=answer.records[:limit])

    log.read = read_strictly
    for _ in range(12):
        await follower.read_once()
    assert seen == [0, 1, 2, 3, 5, 6, 7]
    assert follower.malformed == 1
