"""A worker leaves one order unanswered and carries it out more than 2 s later."""

import asyncio
import json
import time
from pathlib import Path

from review.lib.gateways import REPOSITORY
from review.lib.http import KeptConnection, ask, format_head
from review.lib.rig import HOST_NAME, KEY, MODEL, configuration, main, route
from review.lib.servers import Engine, Server

SLOTS = 8
IDLE = f"a{SLOTS}"
# Adapters beyond those that fit, asked for at the same moment.
RARE = 12
WANTED_AGAIN = 6
LATE_S = 2.0
REPORT_AGE_S = 0.2
EVENT_S = 0.1
LONG_EVENTS = 110
SHORT_EVENTS = 3
DEADLINE_MS = 15000
ROUTES = [
    route(
        "plan",
        "streaming",
        "plan-assist",
        timeoutMs=DEADLINE_MS,
        latencyGoalMs=1000,
        gapTargetMs=400,
    ),
    route("book", "unsafe", "booking-desk", timeoutMs=1500, latencyGoalMs=300),
]
BOOKERS = 6
LOST_ALLOWED = 3
BOOKING_S = 0.5
BODY = b"booked\n"


class LateEngine(Engine):
    """Leaves one unload unanswered, and carries it out more than 2 s later.

    Attributes
    ----------
    unanswered : list of tuple
        Time and content of each transmission of that order.
    answered : int
        Number of orders answered.
    """

    def __init__(self, name):
        super().__init__(name, adapter_slots=SLOTS)
        self.reports = []
        self.unanswered = []
        self.is_done = False
        self.answered = 0

    async def call(self, request, writer):
        """Answer a report of some hundred milliseconds ago, or an order."""
        if request.path == "/-/report":
            body = json.dumps(self.old_report()).encode()
            self.carry_out()
            return 200, body
        order = json.loads(request.body)
        if self.rig.trouble and self.is_lost(order):
            self.rig.note(f"server {self.name} leaves unanswered {describe(order)}")
            self.unanswered.append((time.monotonic(), order))
            await asyncio.sleep(5.0)
            return None
        self.answered += 1
        return await super().call(request, writer)

    def is_lost(self, order):
        """Return whether an order is a transmission of the one that is lost."""
        if order["op"] != "unload" or order["adapter"] != IDLE or self.is_done:
            return False
        if not self.unanswered:
            return True
        first = self.unanswered[0][1]
        return order["precondition"] == first["precondition"]

    def carry_out(self):
        """Carry out the late order once it is 2 s old."""
        if not self.unanswered or self.is_done:
            return
        sent_at, order = self.unanswered[0]
        late = time.monotonic() - sent_at
        if late < LATE_S:
            return
        self.is_done = True
        status = self.order(order)
        self.rig.note(
            f"server {self.name} carries out after {late:.2f} s "
            f"{describe(order)}: {status}"
        )

    def old_report(self):
        """Return the report as of `REPORT_AGE_S` ago."""
        limit = time.monotonic() - REPORT_AGE_S
        while len(self.reports) > 1 and self.reports[1][0] <= limit:
            self.reports.pop(0)
        return self.reports[0][1] if self.reports else self.report()

    async def keep_reports(self):
        """Take a report each few milliseconds."""
        while True:
            self.reports.append((time.monotonic(), self.report()))
            await asyncio.sleep(0.02)

    async def execute(self, request, attempt, writer):
        """Run a stream on an adapter that is there."""
        adapter = request.headers["x-model"].partition("/")[2]
        events = int(request.headers["x-token-count"].partition(",")[2]) // 4
        self.settle()
        if adapter not in self.adapters:
            head = format_head(421, {"X-Attempt-Id": attempt, "Content-Length": 0})
            writer.write(head)
            return True
        self.running[adapter] = self.running.get(adapter, 0) + 1
        headers = self.stamp(attempt) | {"Content-Type": "text/event-stream"}
        headers |= {"Transfer-Encoding": "chunked"}
        try:
            writer.write(format_head(200, headers))
            for number in range(1, events + 1):
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running[adapter] -= 1
        return True


class Desk(Server):
    """A sound server of the other service."""

    async def execute(self, request, attempt, writer):
        """Work for a while and answer."""
        await asyncio.sleep(BOOKING_S)
        headers = self.stamp(attempt) | {"Content-Length": len(BODY)}
        writer.write(format_head(200, headers) + BODY)
        await writer.drain()
        return True


def describe(order):
    """Return what an order says."""
    return f"{order['op']} {order.get('adapter')} precondition {order['precondition']}"


async def send(rig, attempt, adapter, events):
    """Send one request; return whether it was answered at all."""
    headers = {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": DEADLINE_MS,
        "Authorization": f"Bearer {KEY}",
        "X-Model": f"{MODEL}/{adapter}",
        "X-Token-Count": f"100,{4 * events}",
        "X-Prompt-Prefix": f"5c1e07a2:80,{attempt.encode().hex()}:20",
    }
    rig.note(f"client sends {attempt} for {adapter}")
    front = rig.gateways[0].front
    answer = await ask(
        front, "POST", "/plan/x", headers, timeout=DEADLINE_MS / 1000 + 1
    )
    rig.note(
        f"client gets {answer.status} for {attempt}, "
        f"{'whole' if answer.is_complete else 'the connection ends'}"
    )
    return answer.is_complete


async def book(rig, number, lost):
    """Send bookings on a kept connection, one after the other."""
    connection = KeptConnection(rig.gateways[0].front)
    count = 0
    while rig.gateways[0].exit_status() is None:
        count += 1
        attempt = f"book-{number}-{count}"
        headers = {
            "Host": HOST_NAME,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": 3000,
            "Authorization": f"Bearer {KEY}",
        }
        is_kept = connection.writer is not None
        answer = await connection.ask("POST", "/book/x", headers, timeout=3.0)
        has_run = any(attempt in server.runs for server in rig.servers)
        if is_kept and has_run and not answer.is_complete:
            rig.note(f"client gets no answer to {attempt}, which a sound server ran")
            lost.append(attempt)


async def case(rig):
    """Return whether no more requests were lost than the rule allows."""
    engine = LateEngine("i-engine")
    await rig.start(configuration(ROUTES), [engine, Desk("i-desk-1"), Desk("i-desk-2")])
    rig.tasks.append(asyncio.create_task(engine.keep_reports()))
    lost = []
    for number in range(BOOKERS):
        rig.tasks.append(asyncio.create_task(book(rig, number, lost)))
    # The gateway claims the engine only after a wait.
    await asyncio.sleep(9.0)
    rig.note("seven long streams and a short one")
    sent = []
    for number in range(1, SLOTS + 1):
        adapter = f"a{number}"
        events = SHORT_EVENTS if adapter == IDLE else LONG_EVENTS
        sent.append(asyncio.create_task(send(rig, f"first-{number}", adapter, events)))
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.2)
    rig.note("rare adapters are asked for at once")
    for number in range(RARE):
        adapter = f"a{100 + number}"
        sent.append(asyncio.create_task(send(rig, f"rare-{number}", adapter, 3)))
    await asyncio.sleep(0.3)
    rig.note("the idle adapter is asked for again")
    for number in range(WANTED_AGAIN):
        sent.append(asyncio.create_task(send(rig, f"again-{number}", IDLE, 3)))
        await asyncio.sleep(0.05)
    answered = await asyncio.gather(*sent)
    rig.note(
        f"{len(engine.unanswered)} transmissions of one order left unanswered, "
        f"{engine.answered} answered"
    )
    status = rig.gateways[0].exit_status()
    rig.note(f"exit status of the gateway: {status}")
    rig.note(f"requests without an answer: {answered.count(False)}")
    await asyncio.sleep(1.0)
    if status is not None:
        log = rig.gateways[0].log.read_text().replace(f"{REPOSITORY}/", "")
        rig.lines += log.splitlines()[-16:]
    rig.note(f"run by a sound server, on kept connections, unanswered: {len(lost)}")
    return len(lost) <= LOST_ALLOWED


if __name__ == "__main__":
    main(case, str(Path(__file__).parent))
