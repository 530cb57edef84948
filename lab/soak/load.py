"""Callers, operator and configuration probes of a soak run."""

import asyncio
import contextlib

import aiohttp
import yarl

from lab.soak.promises import PROBE_PREFIX, Attempt, Violation
from skylarkpost.platform import OPERATOR_TOPIC
from standins.gateway_configuration import (
    HOST,
    KEY,
    MODEL,
    ROUTES,
    configuration,
    route,
)

__all__ = ["DEADLY_PART", "EVENTS", "Callers", "Operator", "VersionProbe"]

KINDS = ("safe", "unsafe", "stream", "resumable")
ADAPTERS = 6
EVENTS = 12
DEADLINE_S = 2.5
THINK_S = 0.05
# Prompt part that crashes engines, and the share of requests with it. No request has
# it as its own last part, which is the request's number.
DEADLY_PART = "deadbeef"
DEADLY_SHARE = 0.2
PUBLISH_INTERVAL_S = (0.3, 2.0)
PROBE_INTERVAL_S = 0.1
# Statuses that callers may get during a shutdown without other faults.
ORDERLY_STATUSES = {200, 500, 503}


class Operator:
    """Publishes configuration versions and withdraws keys during the faults.

    Parameters
    ----------
    run : SoakRun
        The run.

    Attributes
    ----------
    version : int
        Latest version; only version N has the route ``/genN/``.
    withdrawn : list of str
        Keys that are no longer valid.
    """

    def __init__(self, *, run):
        self.soak_run = run
        self.version = 0
        self.withdrawn = []
        self.is_stopped = False
        self.payload = b""

    async def run(self):
        """Publish at random intervals until stopped."""
        while not self.is_stopped:
            await asyncio.sleep(self.soak_run.random.uniform(*PUBLISH_INTERVAL_S))
            if not self.is_stopped:
                await self.publish()

    async def publish(self):
        """Publish the next version, which withdraws the previous version's own key."""
        if self.version:
            self.withdrawn.append(f"key-{self.version}")
        self.version += 1
        newest = route(f"gen{self.version}", f"/gen{self.version}/", "safe")
        self.payload = configuration(
            version=self.version,
            routes=[*ROUTES, newest],
            keys=[KEY, f"key-{self.version}"],
        )
        await self.write_again()

    async def write_again(self):
        """Write the newest version."""
        await self.soak_run.store.put(OPERATOR_TOPIC, "config", self.payload)


class VersionProbe:
    """Checks that the configuration version served by a gateway never decreases.

    Parameters
    ----------
    run : SoakRun
        The run.
    number : int
        Number of the gateway.
    """

    def __init__(self, *, run, number):
        self.soak_run = run
        self.number = number
        self.served = {}

    async def run(self):
        """Probe random versions until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            version = self.soak_run.random.randint(1, self.soak_run.operator.version)
            before = self.soak_run.start_counts[self.number]
            if not await self._serves(version):
                continue
            if self.soak_run.start_counts[self.number] != before:
                continue
            newest = self.served.get(before, 0)
            self.served[before] = max(newest, version)
            if version < newest:
                detail = f"entry-{self.number}: {version} after {newest}"
                violation = Violation("a version never steps back", detail)
                self.soak_run.violations.append(violation)

    async def _serves(self, version):
        url = _url(self.soak_run, self.number, f"/gen{version}/")
        timeout = aiohttp.ClientTimeout(total=1.0)
        headers = _headers(f"{PROBE_PREFIX}{self.number}-{version}", KEY)
        with contextlib.suppress(TimeoutError, aiohttp.ClientError, ConnectionError):
            async with self.soak_run.session.get(
                url, headers=headers, timeout=timeout
            ) as response:
                return response.status == 200
        return False


class Callers:
    """Callers that send requests of all kinds to all ready gateways.

    Parameters
    ----------
    run : SoakRun
        The run.

    Attributes
    ----------
    attempts : list of Attempt
        All completed attempts.
    kinds : tuple of str
        Kinds of requests.
    only_shutdowns : bool
        Whether only shutdowns are in progress, which may interrupt nothing.
    interrupted : list of Attempt
        Attempts sent while `only_shutdowns` that had no orderly end.
    """

    def __init__(self, *, run):
        self.soak_run = run
        self.attempts = []
        self.interrupted = []
        self.kinds = KINDS
        self.only_shutdowns = False
        self.is_stopped = False
        self.count = 0

    async def run(self):
        """Send requests until the run is over."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.soak_run.shape.callers):
                group.create_task(self._call_repeatedly())

    async def is_served(self, kind, number, path=None):
        """Return whether a gateway answers a request of a kind completely."""
        attempt = await self._call(kind, number, path=path)
        return attempt.status == 200 and attempt.is_complete

    async def _call_repeatedly(self):
        rng = self.soak_run.random
        while not self.is_stopped:
            await asyncio.sleep(rng.uniform(0.0, 2 * THINK_S))
            number = rng.choice(list(self.soak_run.gateways))
            if not await self.soak_run.is_ready(number):
                continue
            sent_during_shutdowns = self.only_shutdowns
            attempt = await self._call(rng.choice(KINDS), number)
            is_orderly = attempt.is_complete and attempt.status in ORDERLY_STATUSES
            if sent_during_shutdowns and not is_orderly:
                self.interrupted.append(attempt)

    async def _call(self, kind, number, path=None):
        self.count += 1
        attempt_id = f"{self.soak_run.seed}-{self.count}"
        headers = _headers(attempt_id, KEY)
        # aiohttp retries a GET by itself when a connection breaks.
        method = "GET" if kind == "safe" else "POST"
        body = b""
        expected = b"".join(
            b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
        )
        if kind == "unsafe":
            body = f"booking {attempt_id}".encode()
        if kind in ("safe", "unsafe"):
            expected = body
        else:
            adapter = self.soak_run.random.randrange(1, ADAPTERS + 1)
            headers["X-Model"] = f"{MODEL}/a{adapter}"
            headers["X-Token-Count"] = "100,10"
            parts = f"aa:50,{self.count:x}:40"
            is_deadly = self.soak_run.random.random() < DEADLY_SHARE
            if self.soak_run.has_deadly_part and path is None and is_deadly:
                parts = f"aa:50,{DEADLY_PART}:10,{self.count:x}:40"
            headers["X-Prompt-Prefix"] = parts
        status, is_complete, received = None, False, bytearray()
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + 1.0)
        url = _url(self.soak_run, number, path or f"/{kind}/")
        try:
            async with self.soak_run.session.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            ) as response:
                status = response.status
                async for chunk in response.content.iter_any():
                    received += chunk
                is_complete = True
        except (TimeoutError, aiohttp.ClientError, ConnectionError):
            # Only the part received before the error is checked.
            is_complete = False
        attempt = Attempt(
            attempt_id,
            kind,
            number,
            body,
            status,
            is_complete,
            bytes(received),
            expected,
        )
        self.attempts.append(attempt)
        return attempt


def _url(run, number, path):
    return yarl.URL(f"http://{run.front_links[number].own_address}{path}")


def _headers(attempt_id, key):
    return {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Authorization": f"Bearer {key}",
    }
