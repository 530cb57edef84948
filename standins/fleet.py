"""Starts stand-ins and daemons as processes on loopback.

Used by the demo and by tests that run real processes.
"""

import asyncio
import contextlib
import pathlib
import random
import signal
import socket
import sys
import time
from typing import NamedTuple

import aiohttp

__all__ = ["Fleet", "FleetShape", "Process"]

HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
# Below the ephemeral ports that the system assigns to outgoing connections.
PORT_RANGE = (10_000, 32_000)

allocated_ports = set()


class FleetShape(NamedTuple):
    """Composition of a fleet.

    Attributes
    ----------
    instances : tuple of (str, str)
        Id and data centre of each daemon.
    engines, services : tuple of (str, str)
        Name and data centre of each target.
    engine_arguments : tuple of str
        Additional arguments of all engines.
    settings : str
        TOML sections appended to each daemon's settings.
    """

    instances: tuple = (
        ("entry-1", "windhoek-a"),
        ("entry-2", "windhoek-a"),
        ("entry-3", "windhoek-b"),
        ("entry-4", "okahandja"),
    )
    engines: tuple = (
        ("plan-assist-1", "windhoek-a"),
        ("plan-assist-2", "windhoek-b"),
        ("plan-assist-3", "okahandja"),
    )
    services: tuple = (("booking-desk-1", "windhoek-a"),)
    engine_arguments: tuple = ()
    settings: str = ""


class Process:
    """A child process.

    Parameters
    ----------
    name : str
        Name for messages.
    child : asyncio.subprocess.Process
        Handle of the child process.
    log_path : pathlib.Path
        File that receives its output.
    """

    def __init__(self, *, name, child, log_path):
        self.name = name
        self.child = child
        self.log_path = log_path

    def is_running(self):
        """Return whether the process is still running."""
        return self.child.returncode is None

    def send(self, number):
        """Send a signal if the process is still running."""
        if self.is_running():
            self.child.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        await self.child.wait()

    async def stop(self):
        """Terminate the process; kill it if it does not end in time."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.child.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            await self.kill()


class Fleet:
    """A running system: stand-ins and daemons.

    Parameters
    ----------
    shape : FleetShape
        Composition of the fleet.
    directory : pathlib.Path
        Directory for settings and logs.

    Attributes
    ----------
    urls : dict of str to str
        Base URL of each process, for callers, operators and switches.
    platform_ports : dict of (str, str) to int
        Port of a platform service by service and user (an instance or
        ``"operator"``); separate ports let a stand-in cut off a single user.
    processes : dict of str to Process
        Processes by name.
    """

    def __init__(self, *, shape, directory):
        self.shape = shape
        self.directory = pathlib.Path(directory)
        self.urls = {}
        self.peer_addresses = {}
        self.platform_ports = {}
        self.processes = {}
        self.http = None

    async def __aenter__(self):
        self.http = aiohttp.ClientSession()
        try:
            await self._start_platform()
            await self._start_targets()
            await self.publish_instance_list()
            for name, _ in self.shape.instances:
                self._write_settings(name)
                await self.start_instance(name)
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *details):
        await self.close()

    async def close(self):
        """Kill every process."""
        await self.http.close()
        await asyncio.gather(*(process.kill() for process in self.processes.values()))

    async def stop(self):
        """Terminate the daemons, then the stand-ins."""
        daemons = {name for name, _ in self.shape.instances}
        for chosen in (daemons, self.processes.keys() - daemons):
            await asyncio.gather(*(self.processes[name].stop() for name in chosen))

    @property
    def operator_log_url(self):
        """URL of the log as used by operators."""
        return f"http://{HOST}:{self.platform_ports['log', 'operator']}"

    def data_centre(self, name):
        """Return the data centre of an instance or target."""
        shape = self.shape
        return dict((*shape.instances, *shape.engines, *shape.services))[name]

    async def start_instance(self, name):
        """Start the daemon of an instance without waiting until it is ready."""
        path = self.directory / f"{name}.toml"
        module = "skylarkpost.daemon.main"
        await self._spawn(name, module, "--settings", str(path))

    async def restart_target(self, name):
        """Restart the process of an ended target on the same port, with empty state."""
        assert not self.processes[name].is_running()
        await self._spawn_target(name)
        await self._wait_for(name, "/switches")

    async def wait_ready(self, *names):
        """Wait until the named instances are ready, or all if none is named."""
        for name in names or [name for name, _ in self.shape.instances]:
            await self._wait_for(name, "/readyz")

    async def switch(self, name, **switches):
        """Set switches of a stand-in."""
        url = self.urls[name] + "/switches"
        async with self.http.post(url, json=switches) as response:
            assert response.status == 200, await response.text()
            return await response.json()

    async def get(self, name, path):
        """Return the JSON answer of a process to a GET request."""
        async with self.http.get(self.urls[name] + path) as response:
            return await response.json(content_type=None)

    async def publish_instance_list(self, **states):
        """Publish the instance list; ``name="leaving"`` overrides a state.

        Entries default to ``"live"``; the state ``"absent"`` omits an entry.
        """
        entries = []
        for name, data_centre in self._list_processes():
            state = states.get(name, states.get(name.replace("-", "_"), "live"))
            if state != "absent":
                entries.append(self._list_entry(name, data_centre, state))
        url = self.urls["instances"] + "/instances"
        async with self.http.put(url, json={"instances": entries}) as response:
            assert response.status < 300, await response.text()

    async def cut_platform(self, *names):
        """Cut the named instances off the log and the list; reconnect all others."""
        for service in ("log", "instances"):
            ports = [self.platform_ports[service, name] for name in names]
            await self.switch(service, cut_ports=ports)

    def _list_processes(self):
        shape = self.shape
        return (*shape.instances, *shape.engines, *shape.services)

    def _list_entry(self, name, data_centre, state):
        is_entry = name in dict(self.shape.instances)
        if is_entry:
            address = self._peer_address(name)
        else:
            address = self.urls[name].removeprefix("http://")
        return {
            "id": name,
            "role": "entry" if is_entry else "target",
            "address": address,
            "data_centre": data_centre,
            "state": state,
        }

    def _peer_address(self, name):
        if name not in self.peer_addresses:
            self.peer_addresses[name] = f"{HOST}:{free_port()}"
        return self.peer_addresses[name]

    async def _start_platform(self):
        users = ["operator", *(name for name, _ in self.shape.instances)]
        for service in ("log", "instances"):
            ports = {user: free_port() for user in users}
            for user, port in ports.items():
                self.platform_ports[service, user] = port
            arguments = [a for p in ports.values() for a in ("--port", str(p))]
            self.urls[service] = f"http://{HOST}:{ports['operator']}"
            await self._spawn(service, f"standins.{service}", *arguments)
        port = free_port()
        self.urls["weights"] = f"http://{HOST}:{port}"
        await self._spawn("weights", "standins.weights", "--port", str(port))
        for service in ("log", "instances", "weights"):
            await self._wait_for(service, "/switches")

    async def _start_targets(self):
        targets = [name for name, _ in (*self.shape.engines, *self.shape.services)]
        for name in targets:
            self.urls[name] = f"http://{HOST}:{free_port()}"
            await self._spawn_target(name)
        for name in targets:
            await self._wait_for(name, "/switches")

    async def _spawn_target(self, name):
        port = self.urls[name].rpartition(":")[2]
        if name in dict(self.shape.services):
            await self._spawn(name, "standins.service", "--port", port)
            return
        arguments = ["--port", port, "--weights-url", self.urls["weights"]]
        # A different seed gives a restarted process a different boot id.
        arguments += ["--name", name, "--seed", str(time.time_ns())]
        arguments += self.shape.engine_arguments
        await self._spawn(name, "standins.engine", *arguments)

    async def _spawn(self, name, module, *arguments):
        log_path = self.directory / f"{name}.log"
        with open(log_path, "ab") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.processes[name] = Process(name=name, child=child, log_path=log_path)

    def _write_settings(self, name):
        port = free_port()
        self.urls[name] = f"http://{HOST}:{port}"
        peer_port = self._peer_address(name).rpartition(":")[2]
        urls = {
            service: f"http://{HOST}:{self.platform_ports[service, name]}"
            for service in ("log", "instances")
        }
        text = f"""
[instance]
id = "{name}"
data_centre = "{self.data_centre(name)}"
address = "{HOST}"
http_port = {port}
peer_port = {peer_port}
[platform]
log_url = "{urls["log"]}"
instance_list_url = "{urls["instances"]}"
{self.shape.settings}
"""
        (self.directory / f"{name}.toml").write_text(text)

    async def _wait_for(self, name, path):
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._answers(name, path):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            tail = self.processes[name].log_path.read_text()[-2000:]
            raise RuntimeError(f"{name} did not start: {tail}") from None

    async def _answers(self, name, path):
        process = self.processes[name]
        if not process.is_running():
            tail = process.log_path.read_text()[-2000:]
            raise RuntimeError(f"{name} ended: {tail}")
        with contextlib.suppress(aiohttp.ClientError):
            async with self.http.get(self.urls[name] + path) as response:
                return response.status == 200
        return False


def free_port():
    """Return a free TCP port outside the ephemeral range.

    A port assigned by the system could be taken by an outgoing connection or by
    another fleet before the intended process listens on it.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        if port in allocated_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            allocated_ports.add(port)
            return port
