"""A server frames its answer by the end of the connection, and is slow."""

import asyncio
from pathlib import Path

from review.lib.http import ask, format_head
from review.lib.rig import HOST_NAME, KEY, MODEL, configuration, main, route
from review.lib.servers import Engine, Server

EVENTS = 40
EVENT_S = 0.1
TIMEOUT_MS = 2000
DEADLINE_MS = 6000
BODY = b"roster " * 200
REQUESTS = 4
ROUTES = [
    route("plan", "streaming", "plan-assist", timeoutMs=TIMEOUT_MS, gapTargetMs=300),
    route("roster", "safe", "booking-desk", timeoutMs=TIMEOUT_MS, attempts=2),
    route("book", "unsafe", "booking-desk", timeoutMs=TIMEOUT_MS),
]


class SlowEngine(Engine):
    """Sends an event each tenth of a second, for longer than the route's timeout."""

    async def execute(self, request, attempt, writer):
        """Send all events of a stream."""
        is_framed = not self.rig.trouble
        headers = self.stamp(attempt) | {"Content-Type": "text/event-stream"}
        headers |= {"Transfer-Encoding": "chunked"} if is_framed else {}
        writer.write(format_head(200, headers))
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if is_framed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        return is_framed or None


class SlowServer(Server):
    """Sends a body in two halves, the second after the route's timeout."""

    async def execute(self, request, attempt, writer):
        """Send the body."""
        is_framed = not self.rig.trouble
        headers = self.stamp(attempt)
        headers |= {"Content-Length": len(BODY)} if is_framed else {}
        half = len(BODY) // 2
        writer.write(format_head(200, headers) + BODY[:half])
        await writer.drain()
        await asyncio.sleep(2 * TIMEOUT_MS / 1000)
        writer.write(BODY[half:])
        await writer.drain()
        return is_framed or None


async def send(rig, number, kind):
    """Send one request, and return whether its answer keeps the rules."""
    attempt = f"{kind}-{number}"
    headers = {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": DEADLINE_MS,
        "Authorization": f"Bearer {KEY}",
    }
    if kind == "plan":
        headers |= {"X-Model": MODEL, "X-Token-Count": "100,160"}
        headers |= {"X-Prompt-Prefix": "5c1e07a2:80,91bd3f06:20"}
    method = "GET" if kind == "roster" else "POST"
    front = rig.gateways[0].front
    rig.note(f"client sends {attempt}")
    answer = await ask(
        front, method, f"/{kind}/x", headers, b"", timeout=DEADLINE_MS / 1000
    )
    if kind == "plan":
        whole = answer.body.count(b"\n\n") == EVENTS
        seen = f"{answer.body.count(b'data:')} of {EVENTS} events"
    else:
        whole = answer.body == BODY
        seen = f"{len(answer.body)} of {len(BODY)} bytes"
    held = not (answer.status == 200 and answer.is_complete and not whole)
    rig.note(
        f"client gets {answer.status} for {attempt}: {seen}, "
        f"{'looks complete' if answer.is_complete else 'visibly cut'}, "
        f"stamp {answer.headers.get('x-server-stamp')}: "
        f"{'held' if held else 'BROKEN'}"
    )
    return held


async def case(rig):
    """Return whether no answer that was cut looked complete."""
    servers = [SlowEngine("i-engine"), SlowServer("i-desk-1"), SlowServer("i-desk-2")]
    await rig.start(configuration(ROUTES), servers)
    sent = [
        send(rig, number, kind)
        for number in range(REQUESTS)
        for kind in ("plan", "roster", "book")
    ]
    return all(await asyncio.gather(*sent))


main(case, str(Path(__file__).parent))
