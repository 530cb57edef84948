"""The store answers one machine nothing; a configuration changes meanwhile.

Exits with 1 if rule CONFIG was broken, with 0 if it held, with 2 if the case can't run.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

from system import System, call, run_case

from skylarkpost.rendezvous import choose_members
from standins.gateway_configuration import HOST, KEY, configuration, route
from standins.gateway_target import GatewayTargetStandIn

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "windhoek-a"
MACHINES = tuple(f"frontend-{ZONE}-{number}" for number in (1, 2, 3))
OLD, NEW = "booking-old", "booking-new"
CONFIG_S = 2.0
CALM_S = 10.0
SILENT_S = 9.0
# The change is sent during the cut.
CHANGE_AFTER_S = 0.2
PROBE_INTERVAL_S = 0.05


def make_configuration(version, service):
    """Return a version of the configuration."""
    routes = [route("book", "/book/", "unsafe", service=service, attempts=1)]
    payload = json.loads(configuration(version, routes))
    plain = payload["services"][1]
    payload["services"] = [plain | {"name": name} for name in (OLD, NEW)]
    return json.dumps(payload).encode()


def reads_for_others():
    """Return the machines that read the store for the zone."""
    return choose_members("topics", list(MACHINES), 2)


async def probe(gateway, record, sent_at):
    """Send requests to one machine until cancelled."""
    count = 0
    while True:
        count += 1
        attempt = f"{gateway.name}-{count}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "3000",
            "Authorization": f"Bearer {KEY}",
        }
        sent_at[attempt] = time.monotonic()
        answer = await call(gateway.front, "POST", "/book/1", headers, body=b"book")
        record.note("answered", attempt, answer.status)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def main(record):
    """Run the case; see `run_case`."""
    system = System(record=record)
    async with system.running(machines=len(MACHINES)):
        targets = {}
        for service in (OLD, NEW):
            target = GatewayTargetStandIn(name=f"i-{service}")
            await system.add_target(target)
            await system.announce(target, service, ZONE)
            targets[service] = target
        await system.publish(make_configuration(1, OLD))
        for name in MACHINES:
            system.add_gateway(name, ZONE)
        for gateway in system.gateways:
            await gateway.start()
        for gateway in system.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(CALM_S)
        readers = reads_for_others()
        other = next(each for each in MACHINES if each not in readers)
        first = choose_members(other, readers, 2)[0]
        cut = next(each for each in system.gateways if each.name == first)
        sent_at = {}
        tasks = [
            asyncio.create_task(probe(gateway, record, sent_at))
            for gateway in system.gateways
            if gateway is not cut
        ]
        await asyncio.sleep(1.0)
        if TROUBLE:
            system.store.silence(cut.store_address)
            record.say(f"the store answers {cut.name} nothing; {other} asks it")
        await asyncio.sleep(CHANGE_AFTER_S)
        await system.publish(make_configuration(2, NEW))
        changed_at = time.monotonic()
        record.say(f"version 2 moves the route from {OLD} to {NEW}, acknowledged")
        await asyncio.sleep(SILENT_S - CHANGE_AFTER_S)
        system.store.hear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return judge(record, targets, sent_at, changed_at)


def judge(record, targets, sent_at, changed_at):
    """Judge the rule; see `run_case`."""
    broken, last = 0, {}
    for service, target in targets.items():
        for at, attempt, _ in target.received:
            after = sent_at[attempt] - changed_at
            record.note(f"{attempt}, sent {after:.3f} s after it, ran at {service}", at)
            if service == OLD:
                machine = attempt.rpartition("-")[0]
                last[machine] = max(after, last.get(machine, after))
                broken += after > CONFIG_S
    for machine, after in last.items():
        record.say(f"{machine}: last request at {OLD} sent {after:.3f} s after it")
    record.say(
        f"run by the old service though sent over {CONFIG_S} s after it: {broken}"
    )
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(run_case("CONFIG", main, pathlib.Path(__file__).parent))
