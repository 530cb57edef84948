"""Requests that crash the targets that run them, through one gateway instance."""

import contextlib

import aiohttp

from tests.gateway.rig import MODEL, gateway, wait_until

# Crashes after which requests with the cause of the crashes must not reach targets.
MAX_CRASHES = 5
DEADLY = "dd"


def prompt(number, *parts):
    """Return headers of a request; its last part is its own."""
    ids = [*parts, f"{number:x}"]
    return {
        "X-Model": f"{MODEL}/a1",
        "X-Token-Count": "100,10",
        "X-Prompt-Prefix": ",".join(f"{part}:20" for part in ids),
    }


def are_all_stewarded(rig):
    """Return whether all targets are back and their stewards know of it."""
    directory = rig.instance.services.controllers["directory"]
    lease_manager = rig.instance.services.controllers["stewardship"].lease_manager
    boots = {name: entry.boot for name, entry in directory.targets.entries.items()}
    stewarded = {
        name: executor.steward.boot
        for name, executor in lease_manager.executors.items()
    }
    current = {
        target.name: f"{target.name}/{target.start_time_ms}"
        for target in rig.targets.values()
        if target.listener.is_serving()
    }
    return boots == stewarded == current


async def send(rig, number, *parts):
    await wait_until(lambda: are_all_stewarded(rig))
    status, _, headers = await rig.fetch(
        "/stream/", method="POST", headers=prompt(number, *parts)
    )
    return status, headers


def crash_on(rig, *parts):
    for target in rig.targets.values():
        target.deadly_parts.update(parts)
        target.on_restart = lambda target=target: rig.announce(target)


def crashes(rig):
    return sum(target.crashes for target in rig.targets.values())


async def test_a_prompt_part_that_crashes_engines_is_kept_from_them():
    async with gateway(engines=4, plain=0) as rig:
        crash_on(rig, DEADLY)
        for number in range(10):
            with contextlib.suppress(aiohttp.ClientError):
                await send(rig, number, "aa", f"c{number}", DEADLY)
        assert crashes(rig) <= MAX_CRASHES, crashes(rig)
