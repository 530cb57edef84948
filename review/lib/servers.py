"""Stand-ins for servers: their announcements, reports and orders."""

import asyncio
import json
import time

from review.lib.http import HttpServer, format_head
from review.lib.rig import MODEL

__all__ = ["Engine", "Server"]

LOAD_S = 0.25


class Server(HttpServer):
    """A server of a plain service; subclasses say how requests run.

    Attributes
    ----------
    rig : Rig
        Set when the case starts.
    runs : dict of str to int
        Number of runs by attempt.
    """

    service = "booking-desk"

    def __init__(self, name, *, zone="windhoek-a", slots=6):
        super().__init__("127.0.0.1")
        self.name = name
        self.zone = zone
        self.slots = slots
        self.rig = None
        self.seq = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = {}

    def entry(self):
        """Return the server's entry in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def handle(self, request, writer):
        """Answer a call or run a request."""
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            head = format_head(421, {"X-Instance-Id": self.name, "Content-Length": 0})
            writer.write(head)
            return True
        if request.path == "/healthz":
            head = format_head(200, {"X-Instance-Id": self.name, "Content-Length": 0})
            writer.write(head)
            return True
        if request.path.startswith("/-/"):
            return await self.call(request, writer)
        attempt = request.headers.get("x-attempt-id", "")
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.rig.note(f"server {self.name} runs {attempt} {request.target}")
        return await self.execute(request, attempt, writer)

    async def call(self, request, writer):
        """Answer a report or an order."""
        return 404, b""

    async def execute(self, request, attempt, writer):
        """Run a request."""
        raise NotImplementedError

    def stamp(self, attempt):
        """Return the headers of an answer to an attempt."""
        return {"X-Attempt-Id": attempt, "X-Server-Stamp": f"{self.name}.{attempt}"}


class Engine(Server):
    """A server with a base model and adapters.

    Attributes
    ----------
    adapters : dict of str to int
        Version by name of each adapter that it holds.
    pending : dict of str to tuple
        Version and time of the end of each load.
    orders : int
        Number of orders accepted.
    """

    service = "plan-assist"

    def __init__(self, name, *, adapter_slots=8, **kwargs):
        super().__init__(name, slots=64, **kwargs)
        self.adapter_slots = adapter_slots
        self.adapters = {}
        self.pending = {}
        self.orders = 0
        self.running = {}

    def entry(self):
        """Return the server's entry in the store."""
        values = super().entry()
        return values | {
            "stage": "both",
            "models": [self.model_entry()],
            "seq": self.orders,
        }

    def model_entry(self):
        """Return what the server holds."""
        self.settle()
        names = [f"{name}@{version}" for name, version in self.adapters.items()]
        return {"name": MODEL, "version": 1, "adapters": names}

    def settle(self):
        """End the loads that are due."""
        now = time.monotonic()
        for name, (version, due) in list(self.pending.items()):
            if due <= now:
                del self.pending[name]
                self.adapters[name] = version

    def report(self):
        """Return the report of this moment."""
        return {
            "stage": "both",
            "models": [self.model_entry()],
            "busy": False,
            "seq": self.orders,
            "waiting": 0,
            "running": sum(self.running.values()),
            "kvUsed": 0,
            "kvTotal": 277092,
            "handles": 0,
            "pending": [f"{MODEL}/{n}@{v}" for n, (v, _) in self.pending.items()],
        }

    async def call(self, request, writer):
        """Answer a report or an order."""
        if request.path == "/-/report":
            return 200, json.dumps(self.report()).encode()
        if request.path == "/-/order":
            order = json.loads(request.body)
            status = self.order(order)
            self.rig.note(
                f"server {self.name} answers {status} to {order['op']} "
                f"{order.get('adapter')} of {order['holder']}, "
                f"precondition {order.get('precondition')}"
            )
            return status, b""
        return 404, b""

    def order(self, order):
        """Carry out an order; return the status of its answer."""
        self.settle()
        name = order.get("adapter")
        if name is None:
            return 200
        if order.get("precondition", self.orders) != self.orders:
            return 409
        version = order.get("version", 1)
        is_load = order["op"] == "load"
        if is_load and name in self.pending:
            return 202
        if is_load and self.adapters.get(name) == version:
            return 200
        if not is_load and name not in self.adapters:
            return 200
        self.orders += 1
        if not is_load:
            return self.unload(name)
        if len(set(self.adapters) | set(self.pending) | {name}) > self.adapter_slots:
            self.overload(name)
        self.pending[name] = (version, time.monotonic() + LOAD_S)
        return 202

    def unload(self, name):
        """Drop an adapter at once, or when its runs have ended."""
        if not self.running.get(name):
            del self.adapters[name]
            return 200
        asyncio.get_running_loop().create_task(self.unload_later(name))
        return 202

    async def unload_later(self, name):
        """Drop an adapter when its runs have ended."""
        while self.running.get(name):
            await asyncio.sleep(0.01)
        self.adapters.pop(name, None)

    def overload(self, name):
        """Note that more was ordered than fits; the server crashes."""
        self.rig.note(f"server {self.name} is ordered to load {name} beyond its slots")
