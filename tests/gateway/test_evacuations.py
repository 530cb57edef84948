"""Operators evacuate data centres; requests are counted at the targets."""

import asyncio

import pytest

from skylarkpost.platform import OPERATOR_TOPIC
from tests.gateway.rig import MODEL, gateway, wait_until

STREAM = {"X-Model": MODEL, "X-Token-Count": "100,10", "X-Prompt-Prefix": "aa:50,bb:40"}
ROUNDS = 12


async def send(rig, is_model):
    if is_model:
        return await rig.fetch("/stream/", method="POST", headers=STREAM)
    return await rig.fetch("/safe/")


def evacuated(rig):
    return rig.instance.services.controllers["directory"].targets.evacuated


async def evacuate(rig, data_centre, value=b"{}"):
    await rig.store.put(OPERATOR_TOPIC, f"evacuate/{data_centre}", value)


@pytest.mark.parametrize("is_model", [False, True])
async def test_nothing_reaches_an_evacuated_data_centre_until_it_is_taken_back(
    is_model,
):
    count = {"engines": 2, "plain": 0} if is_model else {"engines": 0, "plain": 2}
    async with gateway(**count) as rig:
        first, second = rig.targets.values()
        service = "engines" if is_model else "plain"
        await rig.store.put(
            "keyed.servers", second.name, second.entry(service, "lekki")
        )
        directory = rig.instance.services.controllers["directory"].targets
        await wait_until(lambda: directory.entries[second.name].data_centre == "lekki")
        await evacuate(rig, "yaba")
        await wait_until(lambda: evacuated(rig) == {"yaba"})
        before = len(first.started_at)
        for _ in range(ROUNDS):
            assert (await send(rig, is_model))[0] == 200
        assert len(first.started_at) == before
        await evacuate(rig, "yaba", b"")
        await evacuate(rig, "lekki")
        await wait_until(lambda: evacuated(rig) == {"lekki"})
        before = len(second.started_at)
        for _ in range(ROUNDS):
            assert (await send(rig, is_model))[0] == 200
        assert len(second.started_at) == before


@pytest.mark.parametrize("is_model", [False, True])
async def test_with_all_data_centres_evacuated_callers_are_refused_at_once(is_model):
    count = {"engines": 1, "plain": 0} if is_model else {"engines": 0, "plain": 1}
    async with gateway(**count) as rig:
        (target,) = rig.targets.values()
        await evacuate(rig, "yaba")
        await wait_until(lambda: evacuated(rig))
        before = len(target.started_at)
        status, body, headers = await send(rig, is_model)
        assert status == 503
        assert b'"not-run"' in body
        assert float(headers["Retry-After"]) > 0.0
        assert len(target.started_at) == before


async def test_an_engine_keeps_its_steward_while_it_is_evacuated():
    async with gateway(engines=1, plain=0) as rig:
        assert (await send(rig, True))[0] == 200
        manager = rig.instance.services.controllers["stewardship"].lease_manager
        executor = manager.executors["e0"]
        await evacuate(rig, "yaba")
        await wait_until(lambda: evacuated(rig))
        await asyncio.sleep(0.3)
        assert manager.executors["e0"] is executor
        await evacuate(rig, "yaba", b"")
        await wait_until(lambda: not evacuated(rig))
        assert (await send(rig, True))[0] == 200
        assert manager.executors["e0"] is executor


async def test_a_ticket_from_before_is_not_used():
    async with gateway(engines=0, plain=1) as rig:
        controllers = rig.instance.services.controllers
        now = rig.instance.services.clock()
        catalogue = controllers["stewardship"].catalogue
        service = controllers["config"].state.configuration.services["plain"]
        ticket = controllers["stewardship"].service_placer.choose(
            catalogue.of_service(service, now).targets,
            request_id="r1",
            avoid=frozenset(),
            now=now,
        )
        signals = controllers["target-signals"]
        assert signals.wants_nothing(ticket, now) is None
        await evacuate(rig, "yaba")
        await wait_until(lambda: evacuated(rig))
        assert signals.wants_nothing(ticket, now) == "the data centre is evacuated"


@pytest.mark.parametrize("value", [b"[", b"[1]", b"\xff", b"3"])
async def test_an_odd_request_to_evacuate_changes_nothing(value):
    async with gateway(engines=0, plain=1) as rig:
        await evacuate(rig, "yaba", value)
        await evacuate(rig, "")
        await evacuate(rig, "no-such-place")
        await wait_until(lambda: evacuated(rig) == {"no-such-place"})
        assert (await send(rig, False))[0] == 200
        await evacuate(rig, "yaba")
        await wait_until(lambda: "yaba" in evacuated(rig))
        # It stays evacuated when another writer's bytes follow.
        await evacuate(rig, "yaba", value)
        await evacuate(rig, "another-place")
        await wait_until(lambda: "another-place" in evacuated(rig))
        assert "yaba" in evacuated(rig)
