import asyncio
import time
import uuid

import pytest

from tests.processes.fleets import eventually, running_fleet

pytestmark = pytest.mark.processes

PATH = "/services/reservations/corridors/3"
INSTANCES = ("entry-1", "entry-2", "entry-3", "entry-4")


def make_key():
    milliseconds, rest = int(time.time() * 1000), uuid.uuid4().int
    low = rest & ((1 << 62) - 1) | 2 << 62
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | low))


async def book(caller, instance, key):
    headers = {"Idempotency-Key": key}
    return await caller.call(instance, "POST", PATH, headers=headers)


async def test_a_booking_runs_once_whatever_happens_to_it(tmp_path):
    async with running_fleet(tmp_path) as (fleet, caller):
        services = [name for name, _ in fleet.shape.services]
        keys = [make_key() for _ in range(8)]
        # Answers are lost after the effect; the same calls go to all instances.
        await asyncio.gather(
            *(fleet.switch(s, silent_after_effect=1) for s in services)
        )
        calls = [book(caller, name, key) for key in keys for name in INSTANCES]
        replies = await asyncio.gather(*calls)
        assert any(reply.status == 200 for reply in replies)
        # An instance is killed during a call; its caller retries at the others.
        await asyncio.gather(*(fleet.switch(s, delay=2.0) for s in services))
        keys.append(make_key())
        task = asyncio.create_task(book(caller, "entry-1", keys[-1]))

        async def has_begun():
            return (await effects(fleet, services)).get(keys[-1]) == 1

        await eventually(has_begun)
        await fleet.processes["entry-1"].kill()
        again = [await book(caller, name, keys[-1]) for name in INSTANCES[1:]]
        assert {reply.error["run_state"] for reply in again} == {"running"}
        await asyncio.gather(task, return_exceptions=True)
        assert set((await effects(fleet, services)).values()) == {1}


async def effects(fleet, services):
    found = {}
    for service in services:
        for key, count in (await fleet.get(service, "/counts")).items():
            found[key] = found.get(key, 0) + count
    return found
