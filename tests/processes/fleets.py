"""Fleets of real processes for tests."""

import asyncio
import contextlib

from standins.answers import answer_tokens
from standins.fleet import Fleet, FleetShape
from standins.operations import Caller, issue_key, items_toml, publish

TEAMS = {"depot": (5000.0, 50_000.0), "owner": (5000.0, 50_000.0)}
PROFILES = {
    f"plan-{number}": (f"corridor-{number}", "1", ["depot"], 5) for number in range(6)
}
SETTINGS = """
[limits]
slots = {windhoek-a = 2, windhoek-b = 1, okahandja = 1}
[shutdown]
notice = 0.5
[stewardship]
silence = 1.5
"""
# Changes are promised to be in force "within seconds".
IN_FORCE_S = 5.0
STARTUP_S = 30.0
POLL_S = 0.1


@contextlib.asynccontextmanager
async def running_fleet(directory, *, fencing=True, **shape):
    """Start a fleet with teams, profiles and a key; yield the fleet and a caller."""
    shape.setdefault("settings", SETTINGS)
    async with Fleet(shape=FleetShape(**shape), directory=directory) as fleet:
        text = items_toml(fleet, teams=TEAMS, profiles=PROFILES, fencing=fencing)
        await publish(fleet, text, reason="first items")
        key, _ = await issue_key(fleet, "depot")
        caller = Caller(fleet=fleet, key=key)
        await fleet.wait_ready()
        for instance, _ in fleet.shape.instances:
            await eventually(lambda i=instance: answers(caller, i), within=STARTUP_S)
        yield fleet, caller


async def answers(caller, instance, profile="plan-0"):
    reply = await caller.chat(instance, profile, "ready?", max_tokens=2)
    return reply.status == 200


async def eventually(condition, *, within=IN_FORCE_S):
    """Wait until an async condition holds; fail after `within` seconds."""
    try:
        async with asyncio.timeout(within):
            while not await condition():
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise AssertionError(f"not within {within} s") from None


def expected_text(lora_name, prompt, *, seed, max_tokens):
    """Return the answer of a stand-in engine to a chat of one message."""
    return "".join(answer_tokens(lora_name, f"user: {prompt}", seed, max_tokens))
