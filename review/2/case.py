"""A server's answer is bytes that are no answer, without end, in short chunks."""

import asyncio
import time
from pathlib import Path

from review.lib.http import KeptConnection, ask, format_head
from review.lib.rig import HOST_NAME, KEY, MODEL, configuration, main, route
from review.lib.servers import Engine, Server

CLIENTS = 8
TRAFFIC_S = 25.0
TROUBLE_AT_S = 5.0
TIMEOUT_MS = 1500
GRACE_S = 0.5
DEADLINE_MS = 3000
WORK_S = 0.02
# One of this many answers of the faulty server is bad.
BAD_SHARE = 0.02
STREAMS = 200
STREAM_CALLERS = 8
LAST_STREAMS = 6
BODY = b"roster\n" * 20
# A chunk of 16 bytes, many times.
PIECES = b"10\r\n0123456789abcdef\r\n" * 2000
ROUTES = [
    route("plan", "streaming", "plan-assist", timeoutMs=15000, gapTargetMs=300),
    route(
        "roster",
        "safe",
        "booking-desk",
        timeoutMs=TIMEOUT_MS,
        latencyGoalMs=300,
        attempts=2,
    ),
]


class FaultyEngine(Engine):
    """Answers a stream with bytes that are no event, until the caller closes."""

    is_odd = False
    is_due = False
    answers = 0

    async def execute(self, request, attempt, writer):
        """Send a stream."""
        self.answers += 1
        headers = self.stamp(attempt) | {"Content-Type": "text/event-stream"}
        headers |= {"Transfer-Encoding": "chunked"}
        writer.write(format_head(200, headers))
        is_bad = self.is_odd and self.is_due and self.answers * BAD_SHARE >= 1
        if not (self.rig.trouble and is_bad):
            for number in range(1, 14):
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.01)
            writer.write(b"0\r\n\r\n")
            return True
        self.is_due = False
        sent = 0
        try:
            while not writer.transport.is_closing():
                writer.write(PIECES)
                sent += len(PIECES)
                await writer.drain()
        finally:
            self.rig.note(f"server {self.name} has written {sent} bytes to {attempt}")
        return None


class Desk(Server):
    """A sound server of the other service."""

    async def execute(self, request, attempt, writer):
        """Work for a while and answer."""
        await asyncio.sleep(WORK_S)
        headers = self.stamp(attempt) | {"Content-Length": len(BODY)}
        writer.write(format_head(200, headers) + BODY)
        await writer.drain()
        return True


async def read_roster(rig, number, until, late):
    """Send requests to the sound service on a kept connection."""
    connection = KeptConnection(rig.gateways[0].front)
    count = 0
    while time.monotonic() < until:
        count += 1
        headers = {
            "Host": HOST_NAME,
            "X-Attempt-Id": f"roster-{number}-{count}",
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {KEY}",
        }
        began = time.monotonic()
        answer = await connection.ask(
            "GET", "/roster/x", headers, timeout=DEADLINE_MS / 1000
        )
        took = time.monotonic() - began
        if took >= TIMEOUT_MS / 1000:
            is_held = answer.is_complete and took < TIMEOUT_MS / 1000 + GRACE_S
            late.append(is_held)
            rig.note(
                f"client gets {answer.status} for roster-{number}-{count} "
                f"after {took:.2f} s"
            )
        await asyncio.sleep(0.05)
    connection.close()
    return count


async def send_stream(rig, attempt):
    """Send one stream's request."""
    headers = {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": 15000,
        "Authorization": f"Bearer {KEY}",
        "X-Model": MODEL,
        "X-Token-Count": "100,52",
        "X-Prompt-Prefix": f"5c1e07a2:80,{attempt.encode().hex()}:20",
    }
    rig.note(f"client sends {attempt}")
    began = time.monotonic()
    answer = await ask(rig.gateways[0].front, "POST", "/plan/x", headers, timeout=16.0)
    rig.note(
        f"client gets {answer.status} for {attempt}, {len(answer.body)} bytes, "
        f"{'whole' if answer.is_complete else 'cut'}, "
        f"after {time.monotonic() - began:.2f} s"
    )


async def send_streams(rig, first):
    """Send streams' requests, one after the other."""
    for number in range(first, STREAMS, STREAM_CALLERS):
        await send_stream(rig, f"plan-{number}")


async def case(rig):
    """Return whether requests got an answer soon after their route's time."""
    engines = [FaultyEngine("i-engine-1"), FaultyEngine("i-engine-2")]
    engines[0].is_odd = True
    desks = [Desk("i-desk-1"), Desk("i-desk-2")]
    await rig.start(configuration(ROUTES), [*engines, *desks])
    await asyncio.sleep(2.0)
    await asyncio.gather(*(send_streams(rig, each) for each in range(STREAM_CALLERS)))
    until = time.monotonic() + TRAFFIC_S
    late = []
    readers = [
        asyncio.create_task(read_roster(rig, number, until, late))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(TROUBLE_AT_S)
    engines[0].is_due = True
    last = [send_stream(rig, f"last-{number}") for number in range(LAST_STREAMS)]
    await asyncio.gather(*last)
    counts = await asyncio.gather(*readers)
    for engine in engines:
        rig.note(f"{engine.name}: {engine.answers} answers")
    unanswered = late.count(False)
    rig.note(
        f"{sum(counts)} requests to the sound service; unanswered at {TIMEOUT_MS} ms: "
        f"{len(late)}, of these without an answer {GRACE_S} s later: {unanswered}"
    )
    return unanswered <= len(late) / 2


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
