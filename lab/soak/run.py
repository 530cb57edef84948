"""One soak run: real gateways, stand-ins, callers and injected faults."""

import asyncio
import collections
import contextlib
import functools
import itertools
import json
import pathlib
import random
import sys
from typing import NamedTuple

import aiohttp
import yarl

from lab.soak import faults  # noqa: F401  (fills the registry of kinds)
from lab.soak.load import DEADLY_PART, EVENTS, Callers, Operator, VersionProbe
from lab.soak.plan import KINDS, SoakShape, draw_plan
from lab.soak.promises import (
    Violation,
    check_attempts,
    check_orders,
    check_shutdowns,
    check_signals,
)
from lab.soak.proxy import FaultyLink
from skylarkpost.platform import TARGETS_TOPIC
from standins.common import serving
from standins.fleet import HOST, Process, free_port
from standins.gateway_configuration import HOST as GATEWAY_HOST
from standins.gateway_configuration import MODEL
from standins.gateway_target import GatewayTargetStandIn
from standins.store import StoreStandIn

__all__ = ["SoakResult", "SoakRun", "soak"]

DATA_CENTRES = ("windhoek-a", "windhoek-b", "okahandja")
# Twice the time of a takeover of all engines on a busy machine.
RECOVERY_S = 30.0
RECOVERY_CHECK_S = 0.2
START_S = 30.0
SHUTDOWN_S = 2.0


class SoakResult(NamedTuple):
    """Result of a run.

    Attributes
    ----------
    seed : int
        Seed of the run.
    plan : list of Fault
        Injected faults.
    violations : list of Violation
        Broken promises.
    answers : collections.Counter
        Number of attempts by kind and status.
    """

    seed: int
    plan: list
    violations: list
    answers: collections.Counter


class SoakRun:
    """A running system, its load and the violations observed.

    Parameters
    ----------
    seed : int
        Seed of the faults and the load.
    shape : SoakShape
        Composition and length of the run.
    directory : pathlib.Path
        Directory for settings and logs.
    plan : list of Fault or None
        Faults to inject; drawn from the seed if None.
    """

    def __init__(self, *, seed, shape, directory, plan=None):
        self.seed = seed
        self.shape = shape
        self.plan = draw_plan(seed, shape) if plan is None else plan
        self.directory = pathlib.Path(directory)
        self.random = random.Random(f"load {seed}")
        self.store = StoreStandIn()
        self.targets = [
            GatewayTargetStandIn(name=f"e{n}", slots=2, model=MODEL)
            for n in range(shape.engines)
        ] + [GatewayTargetStandIn(name=f"p{n}") for n in range(shape.services)]
        for number, target in enumerate(self.targets):
            target.events = EVENTS
            target.deadly_parts = {DEADLY_PART}
            # The link stays open; callers see the reset and the new boot.
            target.crash = functools.partial(self._crash_target, number)
        self.has_deadly_part = False
        self.crashes = 0
        self.crash_tasks = set()
        self.target_links = []
        self.store_links = []
        self.front_links = []
        self.gateways = {}
        self.start_counts = collections.Counter()
        self.violations = []
        self.ready_addresses = []
        self.session = None
        self.operator = Operator(run=self)

    async def run(self):
        """Execute the run.

        Returns
        -------
        SoakResult
        """
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            callers = Callers(run=self)
            probes = [VersionProbe(run=self, number=n) for n in self.gateways]
            tasks = [
                asyncio.create_task(each.run())
                for each in (callers, self.operator, *probes)
            ]
            try:
                await self._run_plan(self.plan)
                await self._wait_until_recovered(callers)
                await self._check_withdrawn_keys()
                await self._restart_in_turn(callers)
            finally:
                callers.is_stopped = True
                await asyncio.gather(tasks[0], return_exceptions=True)
                for task in tasks[1:]:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        for task in tasks:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()
        self.violations += check_attempts(callers.attempts, self.targets)
        self.violations += check_orders(self.targets)
        self.violations += self._check_signals(callers.attempts)
        logs = [path.read_text() for path in self.directory.glob("entry-*.log")]
        self.violations += check_shutdowns(callers.interrupted, logs)
        answers = collections.Counter((a.kind, a.status) for a in callers.attempts)
        return SoakResult(self.seed, self.plan, self.violations, answers)

    async def start_gateway(self, number):
        """Start a gateway's process."""
        self.start_counts[number] += 1
        name = f"entry-{number}"
        log_path = self.directory / f"{name}.log"
        with open(log_path, "ab") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "skylarkpost.gateway.main",
                "--settings",
                str(self.directory / f"{name}.toml"),
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        self.gateways[number] = Process(name=name, child=child, log_path=log_path)

    async def restart_target(self, number):
        """Restart a target with empty state and reset its connections."""
        target = self.targets[number]
        target.restart()
        self.target_links[number].reset()
        await self.announce(number)

    def _crash_target(self, number):
        self.crashes += 1
        task = asyncio.create_task(self.restart_target(number))
        self.crash_tasks.add(task)
        task.add_done_callback(self.crash_tasks.discard)

    async def announce(self, number):
        """Write a target's entry to the store on behalf of the target."""
        target = self.targets[number]
        service = "engines" if target.model else "plain"
        address = self.target_links[number].own_address
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        entry = target.entry(service, data_centre, address=address)
        await self.store.put(TARGETS_TOPIC, target.name, entry)

    def _check_signals(self, attempts):
        instances = {f.subject for f in self.plan if f.kind.startswith("instance")}
        targets = {
            self.targets[f.subject].name
            for f in self.plan
            if f.kind.startswith(("target-link", "target-answers"))
        }
        return check_signals(
            self.targets,
            attempts,
            disturbed_instances=instances,
            disturbed_targets=targets,
        )

    async def write_again(self):
        """Write what a restored store has lost, for the operator and the targets."""
        await self.operator.write_again()
        for number in range(len(self.targets)):
            await self.announce(number)

    async def is_ready(self, number):
        """Return whether the readiness check of a gateway succeeds."""
        url = f"http://{self.ready_addresses[number]}/-/readyz"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def _start(self, stack):
        connector = aiohttp.TCPConnector(limit=0)
        self.session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        urls = await stack.enter_async_context(serving(self.store))
        store_address = urls[0].removeprefix("http://")
        for number, target in enumerate(self.targets):
            await stack.enter_async_context(target.serving())
            link = FaultyLink(f"{HOST}:{target.port}")
            await stack.enter_async_context(link.serving())
            self.target_links.append(link)
            await self.announce(number)
        await self.operator.publish()
        peers = [f"{HOST}:{free_port()}" for _ in range(self.shape.instances)]
        stack.push_async_callback(self._kill_gateways)
        for number in range(self.shape.instances):
            front_address = f"{HOST}:{free_port()}"
            for links, address in (
                (self.store_links, store_address),
                (self.front_links, front_address),
            ):
                link = FaultyLink(address)
                await stack.enter_async_context(link.serving())
                links.append(link)
            self.ready_addresses.append(f"{HOST}:{free_port()}")
            self._write_settings(number, front_address, peers)
            await self.start_gateway(number)
        async with asyncio.timeout(START_S):
            for number in self.gateways:
                while not await self.is_ready(number):
                    await asyncio.sleep(RECOVERY_CHECK_S)

    def _write_settings(self, number, front_address, peers):
        values = {
            "instance": {
                "id": f"entry-{number}",
                "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
                "front_address": front_address,
                "ready_address": self.ready_addresses[number],
                "peer_address": peers[number],
                "metrics_address": f"{HOST}:{free_port()}",
                "seeds": peers[:2],
            },
            "store": {"address": self.store_links[number].own_address},
        }
        lines = []
        for section, fields in values.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        (self.directory / f"entry-{number}.toml").write_text("\n".join(lines))

    async def _run_plan(self, plan):
        started = asyncio.get_running_loop().time()
        locks = collections.defaultdict(asyncio.Lock)
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                now = asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, started + fault.at - now))
                group.create_task(self._inject(fault, locks))

    async def _inject(self, fault, locks):
        subjects, inject = KINDS[fault.kind]
        # Faults of one process run one after the other; others may overlap.
        kind = subjects if fault.kind.startswith("instance") else fault.kind
        async with locks[kind, fault.subject]:
            await inject(self, fault.subject, fault.duration)

    async def _wait_until_recovered(self, callers):
        """Check that, with all faults over, every gateway serves every kind again."""
        self.operator.is_stopped = True
        for target in self.targets:
            target.script.clear()
            target.repeats_calls = False
            target.orders_to_lose = 0
        for process in self.gateways.values():
            if not process.is_running():
                detail = f"{process.name} ended with {process.child.returncode}"
                self.violations.append(Violation("no process ends by itself", detail))
                return
        try:
            async with asyncio.timeout(RECOVERY_S):
                for number in self.gateways:
                    for kind in callers.kinds:
                        while not await callers.is_served(kind, number):
                            await asyncio.sleep(RECOVERY_CHECK_S)
                    newest = f"/gen{self.operator.version}/"
                    while not await callers.is_served("safe", number, path=newest):
                        await asyncio.sleep(RECOVERY_CHECK_S)
        except TimeoutError:
            detail = f"entry-{number} does not serve every kind after {RECOVERY_S} s"
            self.violations.append(Violation("the fleet recovers", detail))

    async def _check_withdrawn_keys(self):
        if self.violations:
            return
        for number, key in itertools.product(self.gateways, self.operator.withdrawn):
            url = yarl.URL(f"http://{self.front_links[number].own_address}/safe/")
            headers = {"Host": GATEWAY_HOST, "Authorization": f"Bearer {key}"}
            headers["Connection"] = "close"
            try:
                async with self.session.get(url, headers=headers) as response:
                    status = response.status
            except aiohttp.ClientError as error:
                status = repr(error)
            if status != 401:
                detail = f"entry-{number} answered {status}"
                self.violations.append(Violation("withdrawn keys end", detail))

    async def _restart_in_turn(self, callers):
        """Restart the gateways one by one; no shutdown may interrupt a request."""
        if self.violations:
            return
        callers.only_shutdowns = True
        await asyncio.sleep(SHUTDOWN_S)
        for number in self.gateways:
            await self.gateways[number].stop()
            await self.start_gateway(number)
            async with asyncio.timeout(START_S):
                while not await self.is_ready(number):
                    await asyncio.sleep(RECOVERY_CHECK_S)
        callers.is_stopped = True

    async def _kill_gateways(self):
        for process in self.gateways.values():
            await process.kill()


async def soak(seed, directory, shape=None, plan=None):
    """Execute one run.

    Parameters
    ----------
    seed : int
        Seed of the run.
    directory : pathlib.Path
        Directory for settings and logs.
    shape : SoakShape or None
        Composition and length; the default if None.
    plan : list of Fault or None
        Faults to inject; drawn from the seed if None.

    Returns
    -------
    SoakResult
    """
    run = SoakRun(seed=seed, shape=shape or SoakShape(), directory=directory, plan=plan)
    return await run.run()
