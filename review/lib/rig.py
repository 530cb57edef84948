"""Runs a case: a store, servers and gateways, with a record of what happened."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from review.lib.gateways import Gateway
from review.lib.store import Store

__all__ = ["HOST_NAME", "KEY", "MODEL", "Rig", "configuration", "main", "route"]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MODEL = "m0"
KEY = "key-of-the-depot"
HOST_NAME = "desk.example"
LIMIT_S = 110.0


def route(name, kind, service, **changes):
    """Return a route of the configuration."""
    values = {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 5000,
        "latencyGoalMs": 800,
        "priority": 1,
        "service": service,
        "attempts": 1,
    }
    return values | changes


def configuration(routes, *, version=1, adapter_slots=8, adapters=3000):
    """Return a configuration with one engine and one plain service."""
    engine = {
        "slots": 64,
        "kvCapacity": 277092,
        "models": [
            {
                "name": MODEL,
                "weightsMb": 65100.0,
                "loadS": 2.9,
                "adapters": adapters,
                "adapterMb": 12.0,
            }
        ],
        "weightsMb": 66500.0,
        "adapterSlots": adapter_slots,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "plan-assist",
                "healthPath": "/healthz",
                "maxConns": 370,
                "engine": engine,
            },
            {"name": "booking-desk", "healthPath": "/healthz", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "depot", "apiKeys": [KEY]}],
    }


class Rig:
    """The parts of one case.

    Attributes
    ----------
    trouble : bool
        Whether the case brings its disruption about.
    lines : list of str
        Record of what was sent, answered and run.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store("127.0.0.1")
        self.servers = []
        self.gateways = []
        self.tasks = []
        self.lines = []
        self.began = time.monotonic()
        self.scratch = None

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    async def start(self, config, servers, *, gateways=1, zones=("windhoek-a",)):
        """Start all parts, and wait until the gateways are ready."""
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        for server in servers:
            server.rig = self
            self.servers.append(server)
            await server.start()
            self.tasks.append(asyncio.create_task(self.announce(server)))
        made = [
            Gateway(
                number=number + 1,
                zone=zones[number % len(zones)],
                folder=self.scratch,
                store_address=self.store.address,
            )
            for number in range(gateways)
        ]
        seeds = [each.control for each in made[:3]]
        for each in made:
            each.seeds = seeds
            each.start()
            self.gateways.append(each)
        for each in made:
            await each.wait_ready()
        self.note(f"{gateways} gateways are ready, trouble={self.trouble}")

    async def announce(self, server):
        """Write a server's entry about as often as its heartbeat."""
        while True:
            entry = json.dumps(server.entry()).encode()
            self.store.put("keyed.servers", server.name, entry)
            await asyncio.sleep(1.2)

    async def close(self):
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


def main(case, folder):
    """Run a case, write its record and exit with its result.

    Parameters
    ----------
    case : callable
        Async; takes the `Rig`, and returns whether the rule held.
    folder : str
        Folder of the case.
    """
    rig = Rig(folder)
    with tempfile.TemporaryDirectory() as scratch:
        rig.scratch = scratch
        result = asyncio.run(run(rig, case))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for gateway in rig.gateways:
                target = Path(keep) / gateway.log.name
                target.write_bytes(gateway.log.read_bytes())
    rig.note(f"exit {result}")
    (rig.folder / "record.txt").write_text("\n".join(rig.lines) + "\n")
    print("\n".join(rig.lines[-8:]))
    sys.exit(result)


async def run(rig, case):
    """Return the exit status of a case."""
    # So that the gateways end as well if the script is terminated.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            held = await case(rig)
        return HELD if held else BROKEN
    except Exception as error:
        rig.note(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        await rig.close()
