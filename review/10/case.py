"""A machine is added while the store turns it away; one team sends far too much.

Exits with 1 if rule QUOTA was broken, with 0 if it held, with 2 if the case can't run.
"""

import asyncio
import os
import pathlib
import sys
import time

from quota import (
    SMALLEST as LIMIT,
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
ADDED = ("frontend-okahandja-2", "okahandja")
ZONES = ("windhoek-a", "windhoek-b", "okahandja")
CLIENTS_PER_ZONE = 10
# The team's usual share of the site's traffic is its limit / 1.8; `hot_tenant` has an
# x of 7.5 at most.
USUAL_PER_S = LIMIT.rate / 1.8 / (TOKENS_IN + TOKENS_OUT)
HOT = 7.5
CALM_S = 10.0
USUAL_S = 4.0
TURNED_AWAY_S = 9.0
HOT_S = 11.0


class Clients:
    """The team's callers: each sends at a fixed pace, each request on a new connection.

    The platform forwards a connection to a ready machine of the caller's zone, chosen
    by a hash of the caller.
    """

    def __init__(self, system, record):
        self.system = system
        self.record = record
        self.ready = set()
        self.sent_at = {}
        self.answers = {}
        self.pace = 1.0
        self.tasks = set()

    async def watch(self):
        """Ask each machine once a second; one that answers 200 gets connections."""
        while True:
            for gateway in list(self.system.gateways):
                if gateway.process is None or not await gateway.is_ready():
                    self.ready.discard(gateway.name)
                else:
                    self.ready.add(gateway.name)
            await asyncio.sleep(1.0)

    async def run(self, zone, number):
        """Send until cancelled."""
        count = 0
        clients = CLIENTS_PER_ZONE * len(ZONES)
        await asyncio.sleep(number / (USUAL_PER_S * self.pace) / CLIENTS_PER_ZONE)
        while True:
            count += 1
            task = asyncio.create_task(self.send(zone, number, count))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            due = time.monotonic() + clients / (USUAL_PER_S * self.pace)
            while time.monotonic() < due:
                before = self.pace
                await asyncio.sleep(0.05)
                if self.pace > before:
                    break

    async def send(self, zone, number, count):
        """Send one request and record its answer."""
        machines = [
            each
            for each in self.system.gateways
            if each.zone == zone and each.name in self.ready
        ]
        if not machines:
            return
        gateway = machines[number % len(machines)]
        attempt = f"{zone}-{number}-{count}"
        self.sent_at[attempt] = time.monotonic()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "5000",
            "X-Model": MODEL,
            "X-Token-Count": f"{TOKENS_IN},{TOKENS_OUT}",
            "X-Prompt-Prefix": f"aa:6300,{number:x}{count:x}:2890",
            "Authorization": f"Bearer {KEY}",
        }
        answer = await call(gateway.front, "POST", "/plan/1", headers, body=b"draft")
        self.answers[attempt] = answer.status
        self.record.note("answered", attempt, "by", gateway.name, answer.status)


async def main(record):
    """Run the case; see `run_case`."""
    system = System(record=record)
    async with system.running(machines=len(MACHINES) + 1):
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
        clients = Clients(system, record)
        tasks = [asyncio.create_task(clients.watch())]
        await asyncio.sleep(0.5)
        tasks += [
            asyncio.create_task(clients.run(zone, number))
            for zone in ZONES
            for number in range(CLIENTS_PER_ZONE)
        ]
        await asyncio.sleep(USUAL_S)
        added = system.add_gateway(*ADDED)
        port = int(added.store_address.rpartition(":")[2])
        if TROUBLE:
            system.store.refused_ports.add(port)
            record.say(f"the store turns {added.name} away with 503")
        clients.pace = HOT
        record.say("the team sends", HOT, "times its usual")
        await added.start()
        began = time.monotonic()
        await asyncio.sleep(TURNED_AWAY_S)
        system.store.refused_ports.clear()
        record.say(f"the store serves all machines; it refused {system.store.refusals}")
        await asyncio.sleep(max(0.0, HOT_S - (time.monotonic() - began)))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*clients.tasks, return_exceptions=True)
        return judge(record, clients, engines, added)


def judge(record, clients, engines, added):
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
    if not runs or added.name not in clients.ready:
        record.say("the added machine was never ready")
        return 2
    return int(most > LIMIT.most)


if __name__ == "__main__":
    sys.exit(run_case("QUOTA", main, pathlib.Path(__file__).parent))
