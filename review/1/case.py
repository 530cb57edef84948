"""A server frames its answer by the end of the connection, and is slow."""

import asyncio
import socket
import struct
from pathlib import Path

from review.lib.http import ask, format_head
from review.lib.rig import HOST_NAME, KEY, MODEL, configuration, main, route
from review.lib.servers import Engine, Server

EVENTS = 40
EVENT_S = 0.1
TIMEOUT_MS = 2000
DEADLINE_MS = 6000
BODY = b"roster " * 200
QUICK = 160
CALLERS = 8
LONG = 6
# One way between data centres; the servers are in another one than the gateway.
LINK_S = 0.0014
# At most this share of a server's answers is without length.
UNFRAMED_SHARE = 0.05
ROUTES = [
    route("plan", "streaming", "plan-assist", timeoutMs=TIMEOUT_MS, gapTargetMs=300),
    route("roster", "safe", "booking-desk", timeoutMs=TIMEOUT_MS, attempts=2),
    route("book", "unsafe", "booking-desk", timeoutMs=TIMEOUT_MS),
]


class Unframing:
    """Leaves out length and chunks in a few answers; stops at its deadline.

    Attributes
    ----------
    is_odd : bool
        Whether the server does so at all.
    answers, unframed : int
        Number of answers, and of those without length or chunks.
    """

    is_odd = False
    answers = 0
    unframed = 0

    def choose_framing(self, request):
        """Return whether the answer to a request is framed."""
        self.answers += 1
        is_long = request.path.endswith("/long")
        is_allowed = self.unframed + 1 <= UNFRAMED_SHARE * self.answers
        if not (self.rig.trouble and self.is_odd and is_long and is_allowed):
            return True
        self.unframed += 1
        return False

    async def begin(self, request):
        """Return when work on a request has to stop."""
        await asyncio.sleep(LINK_S)
        left = int(request.headers["x-deadline-ms"]) / 1000
        return asyncio.get_running_loop().time() + left

    async def work(self, seconds, due):
        """Work for a while; return False if the deadline has come."""
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(seconds, due - now)))
        return now + seconds < due

    async def break_off(self, writer):
        """Reset the connection, which shows that the answer is incomplete."""
        await asyncio.sleep(LINK_S)
        sock = writer.transport.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


class SlowEngine(Unframing, Engine):
    """Sends an event each tenth of a second."""

    async def execute(self, request, attempt, writer):
        """Send the events of a stream."""
        due = await self.begin(request)
        is_framed = self.choose_framing(request)
        headers = self.stamp(attempt) | {"Content-Type": "text/event-stream"}
        headers |= {"Transfer-Encoding": "chunked"} if is_framed else {}
        writer.write(format_head(200, headers))
        events = EVENTS if request.path.endswith("/long") else 1
        for number in range(1, events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if is_framed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            if events > 1 and not await self.work(EVENT_S, due):
                return await self.break_off(writer)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        return is_framed or None


class SlowServer(Unframing, Server):
    """Sends the second half of a long request's body after more work."""

    async def execute(self, request, attempt, writer):
        """Send the body."""
        due = await self.begin(request)
        is_framed = self.choose_framing(request)
        headers = self.stamp(attempt)
        headers |= {"Content-Length": len(BODY)} if is_framed else {}
        half = len(BODY) // 2
        writer.write(format_head(200, headers) + BODY[:half])
        await writer.drain()
        is_long = request.path.endswith("/long")
        if is_long and not await self.work(2 * TIMEOUT_MS / 1000, due):
            return await self.break_off(writer)
        writer.write(BODY[half:])
        await writer.drain()
        return is_framed or None


async def send(rig, number, kind, length):
    """Send one request, and return whether its answer keeps the rules."""
    attempt = f"{kind}-{length}-{number}"
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
        front, method, f"/{kind}/{length}", headers, b"", timeout=DEADLINE_MS / 1000
    )
    if kind == "plan":
        events = EVENTS if length == "long" else 1
        whole = answer.body.count(b"\n\n") == events
        seen = f"{answer.body.count(b'data:')} of {events} events"
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


async def send_quick(rig, first):
    """Send quick requests, one after the other; return whether all were whole."""
    held = True
    for number in range(first, QUICK, CALLERS):
        for kind in ("plan", "roster"):
            held = await send(rig, number, kind, "quick") and held
    return held


async def case(rig):
    """Return whether no answer that was cut looked complete."""
    zone = "windhoek-b"
    servers = [SlowEngine(f"i-engine-{n}", zone=zone) for n in (1, 2)]
    servers += [SlowServer(f"i-desk-{n}", zone=zone) for n in (1, 2)]
    servers[0].is_odd = servers[2].is_odd = True
    await rig.start(configuration(ROUTES), servers)
    quick = [send_quick(rig, first) for first in range(CALLERS)]
    held = all(await asyncio.gather(*quick))
    sent = [
        send(rig, number, kind, "long")
        for number in range(LONG)
        for kind in ("plan", "roster", "book")
    ]
    held = all(await asyncio.gather(*sent)) and held
    for server in servers:
        rig.note(f"{server.name}: {server.answers} answers, {server.unframed} unframed")
    return held


main(case, str(Path(__file__).parent))
