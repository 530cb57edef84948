import asyncio
import signal
import time
import uuid

import pytest

from standins.operations import Caller, issue_key
from tests.processes.fleets import eventually, expected_text, running_fleet

pytestmark = pytest.mark.processes

PROMPT = "possession windows of corridor 3"
OPTIONS = {"seed": 5, "max_tokens": 40}
TIMEOUT_S = 30.0


async def start_streams(caller, instance, count):
    """Start streams on different profiles and return them once all have begun."""
    tasks, started = [], [asyncio.Event() for _ in range(count)]
    for number, event in enumerate(started):
        tasks.append(
            asyncio.create_task(
                caller.chat(
                    instance,
                    f"plan-{number}",
                    PROMPT,
                    on_chunk=lambda piece, event=event: event.set(),
                    **OPTIONS,
                )
            )
        )
    await asyncio.wait_for(asyncio.gather(*(e.wait() for e in started)), TIMEOUT_S)
    return tasks


def assert_complete(replies):
    for number, reply in enumerate(replies):
        expected = expected_text(f"corridor-{number}@1", PROMPT, **OPTIONS)
        assert (reply.error, reply.text) == (None, expected)


async def violations(fleet):
    found = [await fleet.get(name, "/violations") for name, _ in fleet.shape.engines]
    return {count for item in found for count in item.values()}


async def test_a_graceful_shutdown_cuts_no_stream_and_hands_everything_over(tmp_path):
    async with running_fleet(tmp_path) as (fleet, caller):
        streams = await start_streams(caller, "entry-3", 4)
        fleet.processes["entry-3"].send(signal.SIGTERM)
        assert_complete(await asyncio.gather(*streams))
        assert (
            await asyncio.wait_for(fleet.processes["entry-3"].child.wait(), TIMEOUT_S)
            == 0
        )

        async def others_took_over():
            status = await fleet.get("entry-1", "/admin/status")
            stewards = status["controllers"]["stewardship"]["stewards"]
            return None not in stewards.values() and "entry-3" not in stewards.values()

        await eventually(others_took_over, within=TIMEOUT_S)
        reply = await caller.chat("entry-1", "plan-5", PROMPT, **OPTIONS)
        assert reply.complete
        assert await violations(fleet) == {0}


async def test_a_killed_steward_cuts_no_stream_of_other_instances(tmp_path):
    async with running_fleet(tmp_path, fencing=False) as (fleet, caller):
        streams = await start_streams(caller, "entry-1", 6)
        for name in ("entry-3", "entry-4"):
            await fleet.processes[name].kill()
        assert_complete(await asyncio.gather(*streams))

        async def serves_all():
            replies = [
                await caller.chat("entry-2", f"plan-{n}", PROMPT, **OPTIONS)
                for n in range(6)
            ]
            return all(reply.complete for reply in replies)

        await eventually(serves_all, within=TIMEOUT_S)
        assert await violations(fleet) == {0}


async def test_an_engine_that_crashes_loses_no_answer(tmp_path):
    async with running_fleet(tmp_path) as (fleet, caller):
        streams = await start_streams(caller, "entry-2", 4)
        await fleet.processes["plan-assist-1"].kill()
        assert_complete(await asyncio.gather(*streams))
        await fleet.restart_target("plan-assist-1")
        assert await violations(fleet) == {0}


async def test_a_request_that_crashes_engines_is_stopped_after_two(tmp_path):
    async with running_fleet(tmp_path) as (fleet, caller):
        engines = [name for name, _ in fleet.shape.engines]
        boots = {n: (await fleet.get(n, "/load"))["boot"] for n in engines}
        for name in engines:
            await fleet.switch(name, crash_marker="poison")
        beside = await start_streams(caller, "entry-1", 4)
        first = await caller.chat("entry-1", "plan-5", "poison", **OPTIONS)
        assert first.error["run_state"] == "may-have-run"
        for instance in ("entry-2", "entry-3", "entry-4"):
            again = await caller.chat(instance, "plan-5", "poison", **OPTIONS)
            assert again.error["code"] == "quarantined"
            assert again.error["run_state"] == "not-run"
        assert_complete(await asyncio.gather(*beside))
        crashed = [
            n for n in engines if (await fleet.get(n, "/load"))["boot"] != boots[n]
        ]
        assert len(crashed) <= 2


async def test_instances_without_the_platform_serve_models_but_refuse_claimed_calls(
    tmp_path,
):
    async with running_fleet(tmp_path) as (fleet, caller):
        await fleet.switch("log", outage=True)
        await fleet.switch("instances", absent=True)
        for instance, _ in fleet.shape.instances:
            reply = await caller.chat(instance, "plan-0", PROMPT, **OPTIONS)
            assert reply.complete, reply.error
        booked = await caller.call(
            "entry-1",
            "POST",
            "/services/reservations/slots",
            headers={"Idempotency-Key": uuid7()},
            body={"km": 3},
        )
        assert booked.error["run_state"] == "not-run"
        assert await fleet.get("booking-desk-1", "/counts") == {}


async def test_a_data_centre_cut_from_the_platform_learns_from_its_peers(tmp_path):
    async with running_fleet(tmp_path) as (fleet, _):
        await fleet.cut_platform("entry-4")
        key, _ = await issue_key(fleet, "depot")
        caller = Caller(fleet=fleet, key=key)

        async def serves():
            return (await caller.chat("entry-4", "plan-0", PROMPT, **OPTIONS)).complete

        await eventually(serves)


async def test_a_frozen_instance_holds_nobody_up_and_harms_nothing_later(tmp_path):
    async with running_fleet(tmp_path, fencing=False) as (fleet, caller):
        fleet.processes["entry-3"].send(signal.SIGSTOP)

        async def serves_all():
            replies = [
                await caller.chat("entry-1", f"plan-{n}", PROMPT, **OPTIONS)
                for n in range(6)
            ]
            return all(reply.complete for reply in replies)

        await eventually(serves_all, within=TIMEOUT_S)
        fleet.processes["entry-3"].send(signal.SIGCONT)
        for number in range(6):
            reply = await caller.chat("entry-3", f"plan-{number}", PROMPT, **OPTIONS)
            assert reply.complete or reply.error["run_state"] == "not-run"
        assert await violations(fleet) == {0}
        assert fleet.processes["entry-3"].is_running()


async def test_a_leaving_target_gets_nothing_new_and_ends_what_it_has(tmp_path):
    async with running_fleet(tmp_path) as (fleet, caller):
        streams = await start_streams(caller, "entry-1", 4)
        await fleet.publish_instance_list(**{"plan-assist-2": "leaving"})

        async def gets_nothing_new():
            before = await fleet.get("plan-assist-2", "/counts")
            for number in range(6):
                await caller.chat("entry-2", f"plan-{number}", PROMPT, **OPTIONS)
            return await fleet.get("plan-assist-2", "/counts") == before

        await eventually(gets_nothing_new, within=TIMEOUT_S)
        assert_complete(await asyncio.gather(*streams))


def uuid7():
    """Return a version 7 UUID of the current time."""
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80 | 7 << 76 | 2 << 62 | uuid.uuid4().int % 2**62
    return str(uuid.UUID(int=value))
