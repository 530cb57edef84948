"""Stand-in for a target of the gateway: an engine or a plain service.

It writes HTTP to raw sockets so that tests can truncate answers, withhold them
or add bytes at any point.
"""

import asyncio
import contextlib
import json
from typing import NamedTuple

__all__ = ["GatewayTargetStandIn", "ReceivedOrder", "ReceivedRequest", "SaidSignal"]

LOAD_S = 0.05
EVENT_INTERVAL_S = 0.005
ENDLESS_CHUNK_BYTES = 65_536
SMALL_CHUNK = b"10\r\n0123456789abcdef\r\n"
# How long a crashed target refuses connections.
DOWNTIME_S = 0.2
# From the receipt of an order that gets no answer until it is carried out.
LATE_ORDER_S = 2.4


class ReceivedRequest(NamedTuple):
    """A request as received.

    Attributes
    ----------
    line : str
        The request line.
    headers : dict of str to str
        Values by lower-case name.
    body : bytes
        Complete body.
    """

    line: str
    headers: dict
    body: bytes


class ReceivedOrder(NamedTuple):
    """An order as received.

    Attributes
    ----------
    at : float
        Time of receipt on the event loop's clock, in seconds.
    holder : str
        Steward that sent the order.
    fencing_number : int
        Number that the order carries.
    """

    at: float
    holder: str
    fencing_number: int


class SaidSignal(NamedTuple):
    """What the answer to a request said about the target.

    Attributes
    ----------
    at : float
        Time of the answer on the event loop's clock, in seconds.
    attempt_id, boot : str
        Attempt that was answered, and the target's run.
    pause : float or None
        Seconds for which the target wants nothing; None if it said that it leaves.
    """

    at: float
    attempt_id: str
    boot: str
    pause: float | None


class GatewayTargetStandIn:
    """Serves requests, load reports and orders.

    Parameters
    ----------
    name : str
        Id of the target.
    slots : int
        Number of adapter slots; 0 for a plain service.
    model : str or None
        Base model that it serves; None for a plain service.

    Attributes
    ----------
    executed : list of ReceivedRequest
        Requests whose execution started.
    script : list of str
        Behaviour for the next requests: ``"ok"``, ``"fail"``, ``"shed"``,
        ``"break"`` (connection closed mid-answer), ``"drop"`` (closed before
        any byte), ``"crash"`` (of the target, before any byte), ``"silent"``, ``"late"`` (the answer to another attempt
        comes first), ``"unsigned"`` (no server stamp), ``"unframed"`` (a body
        without length or chunks, ended by its connection), ``"unframed-break"``
        (the same, cut inside an event), ``"unframed-empty"`` (cut after the head),
        ``"unframed-slow"`` (half of the answer, then nothing until the gateway closes),
        ``"endless"`` (a stream without the end of an event), ``"endless-small"`` (the
        same, in chunks of a few bytes), ``"refused-again"``
        (the last refusal on the connection is written once more before the answer),
        ``"refused-unnamed"`` (the same, without the id of its attempt),
        ``"half-head"`` (closed inside the head), ``"error-page"`` (a success that is
        no stream), ``"from-start"`` (a stream whose events begin anew).
    events : int
        Number of events of a complete stream.
    orders : list of ReceivedOrder
        All orders received, including refused ones.
    conflicts : int
        Orders refused for their count.
    start_time_ms : int
        Time of the last start, in Unix milliseconds.
    software_version : str
        Version of its software, as it announces it.
    deadly_parts : set of str
        Ids of prompt parts; the target crashes when it begins to write an answer
        on one of them.
    crashes : int
        Number of crashes so far.
    request_limit : float or str or None
        Requests a second that the target names in its answers.
    is_leaving : bool
        Whether all answers say that the target leaves.
    pause : str or None
        Value of ``Retry-After`` with which the target turns all requests away.
    endless_bytes : int
        Bytes sent in streams without the end of an event.
    started_at : list of float
        When each request was received, on the event loop's clock, in seconds.
    received : list of tuple of (float, str, str)
        The same times, with the attempt and the target's run.
    said : list of SaidSignal
        What answers to requests have said about the target.
    on_restart : callable or None
        Async; called when the target is back after a crash.
    repeats_calls : bool
        Whether the answer to each report or order is written once more, before the
        next answer on its connection.
    orders_to_lose : int
        How many of the next orders get no answer and are carried out late.
    """

    def __init__(self, *, name, slots=0, model=None):
        self.name = name
        self.slots = slots
        self.model = model
        self.adapters = {}
        self.loading = {}
        self.accepted_orders = 0
        self.executed = []
        self.cancelled = []
        self.script = []
        self.events = 4
        self.overloads = 0
        self.orders = []
        self.conflicts = 0
        self.start_time_ms = 1_700_000_000_000
        self.software_version = "v1"
        self.port = None
        self.deadly_parts = set()
        self.crashes = 0
        self.request_limit = None
        self.is_leaving = False
        self.pause = None
        self.received = []
        self.said = []
        self.started_at = []
        self.endless_bytes = 0
        self.on_restart = None
        self.repeats_calls = False
        self.orders_to_lose = 0
        self.late_orders = set()
        self.call_answers = {}
        self.refusals = {}
        self.listener = None
        self.writers = set()
        self.recovery = None

    @contextlib.asynccontextmanager
    async def serving(self):
        """Serve on a free port."""
        await self._listen(0)
        self.port = self.listener.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            self.listener.close()
            if self.recovery is not None:
                self.recovery.cancel()

    def crash(self):
        """Close all connections, refuse new ones for a while and come back empty."""
        self.crashes += 1
        self.listener.close()
        for writer in list(self.writers):
            writer.close()
        self.recovery = asyncio.create_task(self._recover())

    async def _recover(self):
        await asyncio.sleep(DOWNTIME_S)
        self.restart()
        await self._listen(self.port)
        if self.on_restart is not None:
            await self.on_restart()

    async def _listen(self, port):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def restart(self):
        """Clear all state, as a restarted process would."""
        self.adapters, self.loading, self.accepted_orders = {}, {}, 0
        self.start_time_ms += 1000
        self.is_leaving = False
        self.pause = None

    def entry(self, service, zone, **changes):
        """Return the JSON entry that the target writes to the store."""
        models = []
        if self.model is not None:
            adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
            models = [{"name": self.model, "version": 1, "adapters": adapters}]
        values = {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "version": self.software_version,
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "models": models,
            "seq": self.accepted_orders,
            "born": self.start_time_ms,
        }
        return json.dumps(values | changes).encode()

    async def _serve(self, reader, writer):
        disconnects = (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        )
        self.writers.add(writer)
        with contextlib.suppress(*disconnects):
            while await self._serve_request(reader, writer):
                pass
        self.writers.discard(writer)
        writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.strip().split("\r\n")
        headers = {}
        for each in lines:
            name, _, value = each.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = ReceivedRequest(line, headers, body)
        if headers.get("x-expect-instance", self.name) != self.name:
            return self._send_response(writer, 421, b"", {})
        copied = self.call_answers.pop(writer, None)
        if copied is not None:
            self._send_response(writer, *copied, {})
        path = line.split()[1]
        if path == "/-/report":
            return self._answer_call(writer, 200, self._report())
        if path == "/-/order" and self.orders_to_lose:
            self.orders_to_lose -= 1
            self.late_orders.add(
                asyncio.create_task(self._carry_out_later(json.loads(body)))
            )
            await reader.read()
            return False
        if path == "/-/order":
            return self._answer_call(writer, *self._order(json.loads(body)))
        return await self._run(request, reader, writer)

    async def _carry_out_later(self, order):
        await asyncio.sleep(LATE_ORDER_S)
        self._order(order)
        self.late_orders.discard(asyncio.current_task())

    def _answer_call(self, writer, status, body):
        if self.repeats_calls:
            self.call_answers[writer] = (status, body)
        return self._send_response(writer, status, body, {})

    async def _run(self, request, reader, writer):
        action = self.script.pop(0) if self.script else "ok"
        now = asyncio.get_running_loop().time()
        self.started_at.append(now)
        attempt_id = request.headers.get("x-attempt-id", "")
        boot = f"{self.name}/{self.start_time_ms}"
        self.received.append((now, attempt_id, boot))
        attempt = {"X-Attempt-Id": attempt_id}
        if self.is_leaving:
            self.said.append(SaidSignal(now, attempt_id, boot, None))
        if self.request_limit is not None:
            attempt["Server-Limit"] = str(self.request_limit)
        if self.pause is not None:
            attempt["Retry-After"] = self.pause
            action = "shed"
            with contextlib.suppress(ValueError):
                seconds = float(self.pause)
                self.said.append(SaidSignal(now, attempt_id, boot, seconds))
        if action == "shed" or self._lacks_adapter(request):
            status = 503 if action == "shed" else 421
            refusal = self.refusals[writer] = attempt | {"X-Not-Executed": "1"}
            return self._send_response(writer, status, b"", refusal)
        if action == "refused-again" and writer in self.refusals:
            self._send_response(writer, 503, b"", self.refusals[writer])
        if action == "refused-unnamed":
            self._send_response(writer, 503, b"", {"X-Not-Executed": "1"})
        self.executed.append(request)
        if action == "drop":
            return False
        if action == "crash":
            self.crash()
            return False
        if action == "silent":
            await asyncio.sleep(30)
            return False
        if action == "fail":
            return self._send_response(
                writer, 500, b"failed", attempt | {"X-Server-Stamp": "s"}
            )
        if action == "unsigned":
            return self._send_response(writer, 200, b"unsigned", attempt)
        if action == "late":
            self._send_response(writer, 200, b"another's", {"X-Attempt-Id": "another"})
        stamped = attempt | {"X-Server-Stamp": f"{self.name}.1"}
        if action.startswith("status-"):
            status = action.removeprefix("status-")
            return self._send_response(writer, status, b"oops", stamped)
        if action == "half-head":
            writer.write(self._format_head(200, stamped)[:-9])
            return False
        if action == "error-page":
            return self._send_response(
                writer,
                200,
                b"upstream error\n\n",
                stamped | {"Content-Type": "text/html"},
            )
        if self.model is None:
            if action == "unframed-slow":
                writer.write(self._format_head(200, stamped) + b"half of the bo")
                await reader.read()
                return False
            if action == "break":
                writer.write(
                    self._format_head(200, stamped | {"Content-Length": "9"}) + b"ab"
                )
                return False
            return self._send_response(
                writer, 200, f"{self.name}:".encode() + request.body, stamped
            )
        return await self._stream(request, reader, writer, stamped, action)

    async def _stream(self, request, reader, writer, headers, action):
        is_framed = not action.startswith("unframed")
        headers = headers | {"Content-Type": "text/event-stream"}
        if is_framed:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(self._format_head(200, headers))
        if action == "unframed-empty":
            return False
        if self._part_ids(request) & self.deadly_parts:
            await writer.drain()
            self.crash()
            return False
        if action in ("endless", "endless-small"):
            chunk = b"%x\r\n%b\r\n" % (ENDLESS_CHUNK_BYTES, b"x" * ENDLESS_CHUNK_BYTES)
            if action == "endless-small":
                chunk = SMALL_CHUNK * (ENDLESS_CHUNK_BYTES // len(SMALL_CHUNK))
            with contextlib.suppress(ConnectionError):
                while not writer.transport.is_closing():
                    writer.write(chunk)
                    self.endless_bytes += len(chunk)
                    await writer.drain()
            self.cancelled.append(request)
            return False
        first = int(request.headers.get("last-event-id", 0)) + 1
        if action == "from-start":
            first = 1
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            is_cut = action in ("break", "unframed-break") and number == first + 1
            if is_cut:
                event = event[:8]
            chunk = b"%x\r\n%b\r\n" % (len(event), event)
            writer.write(chunk if is_framed else event)
            try:
                await writer.drain()
            except ConnectionError:
                self.cancelled.append(request)
                raise
            if is_cut:
                return False
            if action == "unframed-slow" and number == first + 1:
                await reader.read()
                return False
            await asyncio.sleep(EVENT_INTERVAL_S)
            if writer.transport.is_closing():
                self.cancelled.append(request)
                return False
        if is_framed:
            writer.write(b"0\r\n\r\n")
        return is_framed

    def _part_ids(self, request):
        parts = request.headers.get("x-prompt-prefix", "").split(",")
        return {part.partition(":")[0] for part in parts}

    def _lacks_adapter(self, request):
        """Return whether the adapter, or the version asked for, isn't there."""
        _, _, adapter = request.headers.get("x-model", "").partition("/")
        self._finish_due_loads()
        if not adapter:
            return False
        expected = request.headers.get("x-expect-version")
        held = self.adapters.get(adapter)
        return held is None or expected not in (None, str(held))

    def _finish_due_loads(self):
        now = asyncio.get_running_loop().time()
        for name, (version, loaded_at) in list(self.loading.items()):
            if loaded_at <= now:
                del self.loading[name]
                self.adapters[name] = version

    def _report(self):
        self._finish_due_loads()
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        pending = [f"{self.model}/{n}@{v}" for n, (v, _) in self.loading.items()]
        return json.dumps(
            {
                "models": [{"name": self.model, "version": 1, "adapters": adapters}],
                "busy": False,
                "seq": self.accepted_orders,
                "waiting": 0,
                "running": 0,
                "pending": pending,
            }
        ).encode()

    def _order(self, order):
        now = asyncio.get_running_loop().time()
        self.orders.append(ReceivedOrder(now, order["holder"], order["fence"]))
        self._finish_due_loads()
        name, version = order["adapter"], order.get("version", 1)
        if order["op"] == "load" and name in self.loading:
            return 202, b""
        if order["precondition"] != self.accepted_orders:
            self.conflicts += 1
            return 409, b""
        if order["op"] == "unload":
            if name not in self.adapters:
                return 200, b""
            self.accepted_orders += 1
            del self.adapters[name]
            return 200, b""
        if self.adapters.get(name) == version:
            return 200, b""
        self.accepted_orders += 1
        if len(self.adapters) + len(self.loading) >= self.slots:
            self.overloads += 1
        loaded_at = asyncio.get_running_loop().time() + LOAD_S
        self.loading[name] = (version, loaded_at)
        return 202, b""

    def _send_response(self, writer, status, body, headers):
        headers = headers | {"Content-Length": str(len(body))}
        writer.write(self._format_head(status, headers) + body)
        return True

    def _format_head(self, status, headers):
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
