"""A server leaves without reporting so; its streams are taken up again by clients.

Exits with 1 if rule LOST was broken, with 0 if it held, with 2 if the case can't run.
"""

import asyncio
import collections
import json
import os
import pathlib
import re
import sys
import time

from system import SERVERS_TOPIC, System, call, run_case

import standins.gateway_target
from standins.gateway_configuration import HOST, KEY, MODEL, configuration, route
from standins.gateway_target import GatewayTargetStandIn

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = (
    ("frontend-windhoek-a-1", "windhoek-a"),
    ("frontend-windhoek-b-1", "windhoek-b"),
    ("frontend-okahandja-1", "okahandja"),
)
ZONES = ("windhoek-a", "windhoek-b", "okahandja")
SERVERS = 6
STREAMS_PER_S = 60.0
FIRST_EVENT_S = 1.2
EVENTS = 13
EVENT_INTERVAL_S = 0.18
DEADLINE_MS = 15_000
CALM_S = 10.0
LOAD_BEFORE_S = 6.0
# `drainMs` and a little longer.
SERVES_ON_S = 2.3
LOAD_AFTER_S = 2.0
EVENT_ID = re.compile(rb"^id: (\d+)\n(?:.*\n)*?\n", re.MULTILINE)


class Engine(GatewayTargetStandIn):
    """An engine under load: the first event takes a while."""

    async def _stream(self, request, reader, writer, headers, action):
        await asyncio.sleep(FIRST_EVENT_S)
        return await super()._stream(request, reader, writer, headers, action)


def make_configuration():
    """Return a version of the configuration."""
    routes = [
        route(
            "query",
            "/query/",
            "streaming",
            attempts=1,
            resumable=True,
            timeoutMs=DEADLINE_MS,
            latencyGoalMs=1000,
            gapTargetMs=300,
        )
    ]
    payload = json.loads(configuration(1, routes))
    payload["services"][0]["engine"] |= {"slots": 64, "kvCapacity": 277_092}
    payload["services"][0]["maxConns"] = 370
    return json.dumps(payload).encode()


class Streams:
    """Clients: each stream that breaks is taken up again at once."""

    def __init__(self, system, record):
        self.system = system
        self.record = record
        self.begun = []
        self.taken_up = []
        self.tasks = set()

    async def run(self, seconds):
        """Send until the time is over."""
        began = time.monotonic()
        count = 0
        while time.monotonic() - began < seconds:
            task = asyncio.create_task(self.follow(count))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            count += 1
            await asyncio.sleep(
                max(0.0, began + count / STREAMS_PER_S - time.monotonic())
            )
        await asyncio.gather(*self.tasks)

    async def follow(self, number):
        """Follow one stream, and take it up again if it breaks."""
        first = f"stream-{number}-1"
        answer = await self.send(number, first, {})
        events = EVENT_ID.findall(answer.body)
        self.begun.append(bool(events))
        if answer.whole or not events:
            return
        headers = {"Last-Event-Id": events[-1].decode(), "Resumes": first}
        # Each zone has one machine, so retries reach the same one.
        answer = await self.send(number, f"stream-{number}-2", headers)
        goes_on = answer.status == 200 and (
            answer.whole or bool(EVENT_ID.findall(answer.body))
        )
        self.taken_up.append(goes_on)
        text = answer.body.decode("latin-1")[:160] if answer.status != 200 else ""
        self.record.note(
            f"stream-{number} taken up after {events[-1]}: {goes_on}", text
        )

    async def send(self, number, attempt, more):
        """Send one request and record its answer."""
        gateway = self.system.gateways[number % len(self.system.gateways)]
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Model": MODEL,
            "X-Token-Count": "826,52",
            "X-Prompt-Prefix": f"aa:198,{number:x}:628",
            "Authorization": f"Bearer {KEY}",
            **more,
        }
        answer = await call(
            gateway.front,
            "POST",
            "/query/1",
            headers,
            body=b"ask",
            timeout=DEADLINE_MS / 1000,
        )
        self.record.note(
            "answered",
            attempt,
            "by",
            gateway.name,
            answer.status,
            "whole:",
            answer.whole,
        )
        return answer


async def main(record):
    """Run the case; see `run_case`."""
    standins.gateway_target.EVENT_INTERVAL_S = EVENT_INTERVAL_S
    # The server that leaves does not come back.
    standins.gateway_target.DOWNTIME_S = 60.0
    system = System(record=record)
    async with system.running(machines=len(MACHINES)):
        engines = []
        for number in range(SERVERS):
            engine = Engine(name=f"i-{number}", slots=8, model=MODEL)
            engine.events = EVENTS
            await system.add_target(engine)
            zone = ZONES[number % len(ZONES)]
            await system.announce(engine, "engines", zone, slots=64)
            engines.append(engine)
        await system.publish(make_configuration())
        for name, zone in MACHINES:
            system.add_gateway(name, zone)
        for gateway in system.gateways:
            await gateway.start()
        for gateway in system.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CALM_S)
        streams = Streams(system, record)
        seconds = LOAD_BEFORE_S + SERVES_ON_S + LOAD_AFTER_S
        task = asyncio.create_task(streams.run(seconds))
        await asyncio.sleep(LOAD_BEFORE_S)
        if TROUBLE:
            counts = collections.Counter(
                {
                    each: sum(at > time.monotonic() - 1 for at, *_ in each.received)
                    for each in engines
                }
            )
            leaving = counts.most_common(1)[0][0]
            leaving.is_leaving = True
            await system.store.put(SERVERS_TOPIC, leaving.name, b"")
            record.say(f"the entry of {leaving.name} is removed; it serves on")
            await asyncio.sleep(SERVES_ON_S)
            leaving.crash()
            record.say(f"{leaving.name} exits")
        await task
        return judge(record, streams)


def judge(record, streams):
    """Judge the rule; see `run_case`."""
    begun = sum(streams.begun) / max(1, len(streams.begun))
    goes_on = sum(streams.taken_up) / max(1, len(streams.taken_up))
    record.say(f"new streams: {len(streams.begun)}, of which {begun:.2f} begin")
    record.say(f"taken up: {len(streams.taken_up)}, of which {goes_on:.2f} go on")
    if TROUBLE and len(streams.taken_up) < 12:
        return 2
    return int(len(streams.taken_up) >= 12 and goes_on < begun / 2)


if __name__ == "__main__":
    sys.exit(run_case("LOST", main, pathlib.Path(__file__).parent))
