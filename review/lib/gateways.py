"""Starts the project's gateways as the deploy file says."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from review.lib.http import ask

__all__ = ["REPOSITORY", "Gateway", "loopback_ip"]

REPOSITORY = Path(__file__).resolve().parents[2]
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
FIELD = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
START_S = 40.0
# Named in the settings template.
METRICS_PORT = 7615


def loopback_ip():
    """Return a loopback address on which the port of the metrics is free."""
    while True:
        parts = [random.randrange(2, 250) for _ in range(3)]
        ip = "127." + ".".join(str(each) for each in parts)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, METRICS_PORT))
            return ip


def free_port(ip):
    """Return a free TCP port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def render(template, values):
    """Fill in the project's settings template, as far as it uses the format."""

    def lookup(path):
        found = values
        for part in path.split("."):
            found = found[part]
        return found

    def expand(match):
        try:
            entries = lookup(match[1])
        except KeyError:
            return ""
        if not isinstance(entries, list | tuple):
            # A value is there or not.
            return match[2] if entries else ""
        parts = []
        for number, each in enumerate(entries):
            comma = "," if number + 1 < len(entries) else ""
            parts.append(match[2].replace("{{.}}", each).replace("{{,}}", comma))
        return "".join(parts)

    def fill(match):
        value = lookup(match[1])
        return json.dumps(value) if match[2] else str(value)

    return FIELD.sub(fill, SECTION.sub(expand, template))


class Gateway:
    """One process of the role that the deploy file names."""

    def __init__(self, *, number, zone, folder, store_address, bounds=None):
        self.ip = loopback_ip()
        self.name = f"frontend-{zone}-{number}"
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.control = f"{self.ip}:{free_port(self.ip)}"
        self.seeds = [self.control]
        self.zone = zone
        self.folder = Path(folder)
        self.store_address = store_address
        self.bounds = {
            "leaseMs": 3000,
            "graceS": 8,
            "configMs": 2000,
            "drainMs": 2000,
            "retryBudget": 0.2,
            "retrySlack": 58,
            "quotaWindowS": 8,
            "quotaSlack": 110000,
        } | (bounds or {})
        self.process = None
        self.log = self.folder / f"{self.name}.log"

    def values(self):
        """Return the fields that the template of the settings is filled from."""
        return {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "seeds": self.seeds,
            "platform": {"address": self.store_address},
            "limits": {"memoryMb": 560, "maxFds": 8200},
            "bounds": self.bounds,
            "heartbeatMs": 1200,
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        template = (REPOSITORY / role["template"]).read_text()
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(render(template, self.values()))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SKYLARKPOST_SETTINGS": str(settings),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def wait_ready(self):
        """Wait until the process says that it is ready."""
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended while it started")
            answer = await ask(
                self.ready, "GET", "/-/readyz", {"Host": "ready"}, timeout=1.0
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def exit_status(self):
        """Return the exit status; None while the process runs."""
        return self.process.poll()

    def stop(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()
