"""One request crashes each server that runs it, right after its first event.

Exits with 1 if rule BUDGET was broken, with 0 if it held, with 2 if the case can't run.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

from system import System, call, run_case

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
EVENTS = 13
EVENT_INTERVAL_S = 0.1
# Events that the server has sent when it crashes.
CRASH_AFTER_EVENTS = 1
DOWN_S = 2.0
DEADLINE_MS = 5000
CALM_S = 10.0
TRIES = 20
TRY_INTERVAL_S = 1.5
SOUND_PER_S = 6.0
STABLE_S = 3.0
MOST = 3
BAD = b"the request that crashes servers"


class Engine(GatewayTargetStandIn):
    """An engine that one request crashes while it runs."""

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.crashed_at = []
        self.bad_at = []

    async def _stream(self, request, reader, writer, headers, action):
        if request.body != BAD:
            return await super()._stream(request, reader, writer, headers, action)
        self.bad_at.append(time.monotonic())
        if not TROUBLE:
            return await super()._stream(request, reader, writer, headers, action)
        headers = headers | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(self._format_head(200, headers))
        for number in range(1, CRASH_AFTER_EVENTS + 1):
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        self.crashed_at.append(time.monotonic())
        self.crash()
        return False


def make_configuration():
    """Return the configuration."""
    routes = [
        route(
            "plan",
            "/plan/",
            "streaming",
            attempts=1,
            timeoutMs=DEADLINE_MS,
            latencyGoalMs=800,
            gapTargetMs=300,
        )
    ]
    payload = json.loads(configuration(1, routes))
    payload["services"][0]["engine"] |= {"slots": 64, "kvCapacity": 277_092}
    payload["services"][0]["maxConns"] = 370
    return json.dumps(payload).encode()


async def send(record, gateway, attempt, body, answers):
    """Send one request and record its answer."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Model": MODEL,
        "X-Token-Count": "9190,52",
        "X-Prompt-Prefix": f"aa:6300,{attempt.encode().hex()[-8:]}:2890",
        "Authorization": f"Bearer {KEY}",
    }
    answer = await call(gateway.front, "POST", "/plan/1", headers, body=body)
    answers.append((attempt, answer.status, answer.whole))
    record.note("answered", attempt, "by", gateway.name, answer.status, answer.whole)


async def sound(record, gateways, answers):
    """Send sound requests until cancelled."""
    count = 0
    async with asyncio.TaskGroup() as group:
        while True:
            count += 1
            gateway = gateways[count % len(gateways)]
            attempt = f"sound-{count}"
            body = b"draft %d" % count
            group.create_task(send(record, gateway, attempt, body, answers))
            await asyncio.sleep(1 / SOUND_PER_S)


async def main(record):
    """Run the case; see `run_case`."""
    standins.gateway_target.EVENT_INTERVAL_S = EVENT_INTERVAL_S
    standins.gateway_target.DOWNTIME_S = DOWN_S
    system = System(record=record)
    async with system.running(machines=len(MACHINES)):
        engines = []
        for number in range(SERVERS):
            engine = Engine(name=f"i-{number}", slots=8, model=MODEL)
            engine.events = EVENTS
            await system.add_target(engine)
            zone = ZONES[number % len(ZONES)]

            async def announce(engine=engine, zone=zone):
                await system.announce(engine, "engines", zone, slots=64)

            engine.on_restart = announce
            await announce()
            engines.append(engine)
        await system.publish(make_configuration())
        for name, zone in MACHINES:
            system.add_gateway(name, zone)
        for gateway in system.gateways:
            await gateway.start()
        for gateway in system.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CALM_S)
        answers = []
        load = asyncio.create_task(sound(record, system.gateways, answers))
        await asyncio.sleep(2.0)
        for number in range(TRIES):
            gateway = system.gateways[number % len(system.gateways)]
            await send(record, gateway, f"bad-{number}", BAD, answers)
            await asyncio.sleep(TRY_INTERVAL_S)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        return judge(record, engines, answers)


def judge(record, engines, answers):
    """Judge the rule; see `run_case`."""
    crashes = sorted(at for engine in engines for at in engine.crashed_at)
    reached = sorted(at for engine in engines for at in engine.bad_at)
    record.say(
        f"the request reached servers {len(reached)} times; crashes: {len(crashes)}"
    )
    cut = [
        a
        for a, status, whole in answers
        if a.startswith("sound") and status == 200 and not whole
    ]
    total = sum(a.startswith("sound") for a, *_ in answers)
    record.say(f"sound streams: {total}; cut by the crashes: {len(cut)}")
    if not TROUBLE:
        return 0 if len(reached) == TRIES else 2
    if len(crashes) < 3:
        return 2
    late = [at for at in reached if at > crashes[2] + STABLE_S]
    record.say(f"reached servers over {STABLE_S} s after the third crash: {len(late)}")
    return int(len(late) > MOST)


if __name__ == "__main__":
    sys.exit(run_case("BUDGET", main, pathlib.Path(__file__).parent))
