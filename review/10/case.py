"""All processes are killed at once, and start again, while a team sends far too much.

Exits with 1 if rule QUOTA was broken, with 0 if it held, with 2 if the case can't run.
"""

import asyncio
import os
import pathlib
import sys
import time

from quota import (
    LARGEST as LIMIT,
)
from quota import TOKENS_IN, TOKENS_OUT, most_in_a_window, quota_configuration
from system import System, call, run_case

from standins.gateway_configuration import HOST, KEY, MODEL
from standins.gateway_target import GatewayTargetStandIn

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = (
    ("frontend-windhoek-a-1", "windhoek-a"),
    ("frontend-windhoek-a-2", "windhoek-a"),
    ("frontend-windhoek-b-1", "windhoek-b"),
    ("frontend-okahandja-1", "okahandja"),
)
ZONES = ("windhoek-a", "windhoek-b", "okahandja")
USUAL_PER_S = LIMIT.rate / 1.8 / (TOKENS_IN + TOKENS_OUT)
# `hot_tenant` as a standard day of the site has it: x and seconds.
HOT = 6.0
HOT_S = 11.0
CALM_S = 10.0
DOWN_S = 1.0
USUAL_S = 9.0
# From the begin of the hot load until the kill.
KILL_AFTER_S = 1.5


class Clients:
    """The team's callers, each request on a new connection."""

    def __init__(self, record):
        self.record = record
        self.sent_at = {}
        self.answers = {}
        self.tasks = set()

    async def run(self, gateways, pace, seconds):
        """Send until the time is over."""
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            count = len(self.sent_at) + 1
            gateway = gateways[count % len(gateways)]
            task = asyncio.create_task(self.send(gateway, count))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0)
            await asyncio.sleep(1 / (USUAL_PER_S * pace))
        await asyncio.gather(*self.tasks)

    async def send(self, gateway, count):
        """Send one request and record its answer."""
        attempt = f"plan-{count}"
        self.sent_at[attempt] = time.monotonic()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "5000",
            "X-Model": MODEL,
            "X-Token-Count": f"{TOKENS_IN},{TOKENS_OUT}",
            "X-Prompt-Prefix": f"aa:6300,{count:x}:2890",
            "Authorization": f"Bearer {KEY}",
        }
        answer = await call(gateway.front, "POST", "/plan/1", headers, body=b"draft")
        self.answers[attempt] = answer.status
        self.record.note("answered", attempt, "by", gateway.name, answer.status)


async def main(record):
    """Run the case; see `run_case`."""
    system = System(record=record)
    async with system.running(machines=len(MACHINES)):
        engines = []
        for number, zone in enumerate(ZONES):
            engine = GatewayTargetStandIn(name=f"i-{number}", slots=8, model=MODEL)
            engine.events = 13
            await system.add_target(engine)
            await system.announce(engine, "engines", zone, slots=64)
            engines.append(engine)
        await system.publish(quota_configuration(LIMIT))
        for name, zone in MACHINES:
            system.add_gateway(name, zone)
        for gateway in system.gateways:
            await gateway.start()
        for gateway in system.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CALM_S)
        clients = Clients(record)
        used = system.gateways
        record.say("the team sends its usual")
        await clients.run(used, 1.0, USUAL_S)
        record.say("the team sends", HOT, "times its usual")
        task = asyncio.create_task(clients.run(used, HOT, HOT_S))
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            for gateway in used:
                await gateway.kill()
            record.say("killed:", *(gateway.name for gateway in used))
            await asyncio.sleep(DOWN_S)
            for gateway in used:
                await gateway.start()
            for gateway in used:
                await gateway.wait_ready()
        await task
        return judge(record, clients, engines)


def judge(record, clients, engines):
    """Judge the rule; see `run_case`."""
    # The stand-ins run each request as it arrives.
    runs = [
        (clients.sent_at[attempt], arrived, TOKENS_IN + TOKENS_OUT)
        for engine in engines
        for arrived, attempt, _ in engine.received
    ]
    runs.sort()
    for sent, arrived, tokens in runs:
        record.note(f"ran: sent {sent:.3f}, arrived {arrived:.3f}, {tokens} tokens")
    most, _ = most_in_a_window(runs, LIMIT.window)
    statuses = {}
    for status in clients.answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    record.say("answers by status:", statuses)
    record.say(f"most tokens in {LIMIT.window} s: {most}; allowed: {LIMIT.most:.0f}")
    if not runs:
        return 2
    return int(most > LIMIT.most)


if __name__ == "__main__":
    sys.exit(run_case("QUOTA", main, pathlib.Path(__file__).parent))
