"""Starts the project's gateways, with the commands of the deploy file, and stand-ins.

The store and the targets are the project's own stand-ins; they run in the process of
the script. Gateways are separate processes, ended by their ids at the end.
"""

import asyncio
import contextlib
import logging
import os
import pathlib
import shlex
import signal
import tempfile
import time
import tomllib
import traceback

from starlette.responses import Response
from template import render

from standins.common import serving
from standins.fleet import free_port
from standins.store import StoreStandIn, StoreSwitches

__all__ = ["Answer", "Gateway", "Record", "Store", "System", "call", "run_case"]

# The stand-ins tell of each connection that ends early; so does the record.
logging.disable(logging.CRITICAL)

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
START_S = 30.0
MEMORY_MB = 560
# A case may run for 120 s.
LONGEST_S = 110.0
BOUNDS = {
    "leaseMs": 3000,
    "graceS": 8,
    "configMs": 2000,
    "drainMs": 2000,
    "retryBudget": 0.2,
    "retrySlack": 58,
    "quotaWindowS": 8,
    "quotaSlack": 110000,
}


class Record:
    """Writes what happened to a file, with the seconds since the start."""

    def __init__(self, file):
        self.began = time.monotonic()
        self.file = file

    def note(self, *words):
        """Write one line."""
        line = f"{time.monotonic() - self.began:9.3f} " + " ".join(map(str, words))
        print(line, file=self.file, flush=True)
        return line

    def say(self, *words):
        """Write one line, and print it."""
        print(self.note(*words), flush=True)


def run_case(rule, main, folder):
    """Run a case and return the exit status of its script.

    `main` gets a record and returns 1 if the rule was broken, 0 if it held, and 2 if
    the case could not run.
    """
    with open(folder / "record.txt", "w") as file:
        record = Record(file)
        try:
            status = asyncio.run(_run_bounded(main, record))
        except Exception:
            record.say(traceback.format_exc())
            status = 2
        words = {0: "held", 1: "broken"}
        record.say(rule, words.get(status, "could not be tested"))
    return status


async def _run_bounded(main, record):
    """Run a case; on SIGTERM and after the longest time it ends what it started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LONGEST_S):
            return await main(record)
    except asyncio.CancelledError:
        record.say("stopped by a signal")
        return 2


class Store(StoreStandIn):
    """The store, with one port for each machine, so that it can turn some away."""

    def __init__(self):
        super().__init__()
        self.refused_ports = set()
        self.refusals = 0

    def silence(self, address):
        """Answer nothing on one address any more, also on its open connections."""
        port = int(address.rpartition(":")[2])
        self.switches = StoreSwitches(cut_ports=[port])
        for transport in self.transports:
            if transport.get_extra_info("sockname")[1] == port:
                self.silenced.add(transport)

    def hear(self):
        """Answer all new connections again."""
        self.switches = StoreSwitches()

    def _with_era(self, handler):
        inner = super()._with_era(handler)

        async def answer(request):
            if request.scope["server"][1] in self.refused_ports:
                self.refusals += 1
                return Response(status_code=503)
            return await inner(request)

        return answer


class Gateway:
    """A gateway: its addresses, its settings and its process."""

    def __init__(self, *, name, zone, system, store_address):
        ports = [free_port() for _ in range(4)]
        self.name = name
        self.zone = zone
        self.system = system
        self.store_address = store_address
        self.front, self.ready, self.control, self.metrics = (
            f"{HOST}:{port}" for port in ports
        )
        self.settings = system.folder / f"{name}.conf"
        self.log = system.folder / f"{name}.log"
        self.process = None

    async def start(self):
        """Write the settings and start the process."""
        role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = role["roles"]["gateway"]
        port = self.metrics.rpartition(":")[2]
        values = {
            "node": self.name,
            "zone": self.zone,
            "ip": HOST,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "seeds": self.system.seeds(),
            "platform": {"address": self.store_address},
            "limits": {"memoryMb": MEMORY_MB, "maxFds": 8200},
            "bounds": BOUNDS,
            "heartbeatMs": 1200,
        }
        template = (REPOSITORY / role["template"]).read_text()
        # All machines share one address here, so each has a metrics port of its own.
        template = template.replace(":7615", f":{port}")
        self.settings.write_text(render(template, values))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["SKYLARKPOST_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=REPOSITORY,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.system.record.say(f"started {self.name} as process {self.process.pid}")

    async def wait_ready(self, seconds=START_S):
        """Wait until the platform's question is answered with 200."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self.system.record.say(f"{self.name} is ready")

    async def is_ready(self):
        """Ask as the platform does."""
        answer = await call(self.ready, "GET", "/-/readyz", {}, timeout=1.0)
        return answer.status == 200

    def memory_mb(self):
        """Return the resident memory of the process, in megabytes."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        lines = [line for line in text.splitlines() if line.startswith("VmRSS:")]
        return int(lines[0].split()[1]) // 1024 if lines else 0

    async def kill(self):
        """Send SIGKILL and wait for the end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class System:
    """Gateways, the store and targets."""

    def __init__(self, *, record):
        self.record = record
        self.store = Store()
        self.gateways = []
        self.stack = contextlib.AsyncExitStack()
        self.addresses = []
        self.folder = None

    @contextlib.asynccontextmanager
    async def running(self, *, machines):
        """Serve the store on one port for each machine; end everything afterwards."""
        with tempfile.TemporaryDirectory() as folder:
            self.folder = pathlib.Path(folder)
            async with self.stack:
                urls = await self.stack.enter_async_context(
                    serving(self.store, ports=(0,) * machines)
                )
                self.addresses = [url.removeprefix("http://") for url in urls]
                try:
                    yield self
                finally:
                    for gateway in self.gateways:
                        await gateway.kill()
                    keep = os.environ.get("KEEP_LOGS")
                    if keep:
                        for gateway in self.gateways:
                            text = gateway.log.read_text()
                            (pathlib.Path(keep) / gateway.log.name).write_text(text)

    def seeds(self):
        """Return the control addresses of the first machines, as settings hold them."""
        return [gateway.control for gateway in self.gateways[:3]]

    def add_gateway(self, name, zone):
        """Add a machine; its process is started separately."""
        gateway = Gateway(
            name=name,
            zone=zone,
            system=self,
            store_address=self.addresses[len(self.gateways)],
        )
        self.gateways.append(gateway)
        return gateway

    async def add_target(self, target):
        """Serve a target's stand-in."""
        await self.stack.enter_async_context(target.serving())
        return target

    async def announce(self, target, service, zone, **changes):
        """Write a target's entry, as the target does."""
        entry = target.entry(service, zone, **changes)
        await self.store.put(SERVERS_TOPIC, target.name, entry)

    async def publish(self, payload):
        """Write a configuration, as the operator does."""
        await self.store.put(OPERATOR_TOPIC, "config", payload)


class Answer:
    """What a client has received."""

    def __init__(self, status, headers=None, body=b"", whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole


async def call(address, method, path, headers, *, body=b"", timeout=5.0, on_bytes=None):
    """Send one request on a new connection and read its answer."""
    host, _, port = address.rpartition(":")
    writer = None
    received = Answer(0)
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            headers = {"Host": address, **headers}
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read_answer(reader, received, on_bytes)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return received


async def _read_answer(reader, received, on_bytes):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status, *lines = head.strip().split("\r\n")
    for line in lines:
        name, _, value = line.partition(":")
        received.headers[name.strip().lower()] = value.strip()
    received.status = int(status.split()[1])
    if received.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            piece = await reader.readexactly(size + 2)
            received.body += piece[:-2]
            if on_bytes is not None:
                on_bytes(received.body)
        await reader.readexactly(2)
    else:
        size = int(received.headers.get("content-length", 0))
        received.body = await reader.readexactly(size)
    received.whole = True
