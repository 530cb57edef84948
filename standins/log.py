"""Stand-in for the platform's append-only log.

Run it with ``python -m standins.log --port 7001``. With several ports, a partition
between the log and one data centre is simulated by ``cut_ports``.
"""

import asyncio
import random
import time
from typing import NamedTuple

from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import StandIn, Switches, abort, main

__all__ = ["LogStandIn", "LogSwitches"]

MAX_WAIT_S = 10.0
DEFAULT_LIMIT = 500


class LogSwitches(Switches, kw_only=True):
    """Faults of the log.

    Parameters
    ----------
    outage : bool
        Answer 503 and append nothing.
    delay : float
        Seconds before each request is processed.
    lose_answers : int
        Number of next appends that take effect and lose their answers.
    lose_probability : float
        Probability that an append takes effect and loses its answer.
    retention : float
        Retention of records, in seconds.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_probability: float = 0.0
    retention: float = 3600.0


class StoredRecord(NamedTuple):
    """One record; `time` is when it was appended, in Unix seconds."""

    offset: int
    time: float
    data: dict


class Stream:
    """One stream; records before `first_offset` have expired."""

    def __init__(self):
        self.first_offset = 0
        self.records = []
        self.appended = asyncio.Event()

    @property
    def next_offset(self):
        """Offset of the next record to be appended."""
        return self.first_offset + len(self.records)

    def append(self, records, *, now):
        """Append records and return the offset of the first."""
        first = self.next_offset
        for number, data in enumerate(records):
            self.records.append(StoredRecord(first + number, now, data))
        self.appended.set()
        self.appended = asyncio.Event()
        return first

    def expire(self, *, before):
        """Drop the records appended before a time."""
        expired = 0
        while expired < len(self.records) and self.records[expired].time < before:
            expired += 1
        del self.records[:expired]
        self.first_offset += expired

    def read(self, start, limit):
        """Return at most `limit` records, starting at an offset."""
        index = max(start - self.first_offset, 0)
        return self.records[index : index + limit]


class LogStandIn(StandIn):
    """Append-only log that keeps its streams in memory.

    Parameters
    ----------
    seed : int
        Seed of the random faults.
    """

    switches_type = LogSwitches

    def __init__(self, *, seed=1):
        super().__init__()
        self.random = random.Random(seed)
        self.streams = {}

    def routes(self):
        """Return the routes of the log."""
        path = "/streams/{stream}/records"
        return [
            Route(path, self.post_records, methods=["POST"]),
            Route(path, self.get_records, methods=["GET"]),
        ]

    def stream(self, name):
        """Return a stream after dropping its expired records."""
        stream = self.streams.setdefault(name, Stream())
        stream.expire(before=time.time() - self.switches.retention)
        return stream

    async def post_records(self, request):
        """Append records."""
        content = await request.json()
        await asyncio.sleep(self.switches.delay)
        if self.switches.outage:
            return _unavailable()
        stream = self.stream(request.path_params["stream"])
        first = stream.append(content["records"], now=time.time())
        if self.should_lose_answer():
            return abort(request)
        return JSONResponse({"first_offset": first})

    async def get_records(self, request):
        """Read records; wait for one if there are none yet (long poll)."""
        query = request.query_params
        start = int(query.get("from", "0"))
        limit = int(query.get("limit", str(DEFAULT_LIMIT)))
        wait = min(float(query.get("wait", "0")), MAX_WAIT_S)
        await asyncio.sleep(self.switches.delay)
        stream = self.stream(request.path_params["stream"])
        if start >= stream.next_offset and wait > 0 and not self.switches.outage:
            await self.wait_for_record(stream, wait)
        if self.switches.outage:
            return _unavailable()
        stream = self.stream(request.path_params["stream"])
        return JSONResponse(
            {
                "first_offset": stream.first_offset,
                "next_offset": stream.next_offset,
                "records": [r._asdict() for r in stream.read(start, limit)],
            }
        )

    async def wait_for_record(self, stream, wait):
        """Wait until a record is appended, for at most `wait` seconds."""
        try:
            await asyncio.wait_for(stream.appended.wait(), wait)
        except TimeoutError:
            return

    def should_lose_answer(self):
        """Return whether to lose the answer to an append that took effect."""
        if self.switches.lose_answers > 0:
            self.switches.lose_answers -= 1
            return True
        return self.random.random() < self.switches.lose_probability


def _unavailable():
    return JSONResponse({"error": "the log is down"}, status_code=503)


if __name__ == "__main__":
    main(
        lambda arguments: LogStandIn(seed=arguments.seed),
        description="Stand-in for the platform's append-only log.",
        add_arguments=lambda p: p.add_argument("--seed", type=int, default=1),
    )
