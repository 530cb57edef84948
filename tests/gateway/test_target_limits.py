"""Targets that name the number of requests that they accept, through one gateway."""

import asyncio

import pytest

from tests.gateway.rig import MODEL, gateway

WINDOW_S = 4.0
STREAM = {"X-Model": MODEL, "X-Token-Count": "100,10", "X-Prompt-Prefix": "aa:50,bb:40"}


def tolerated(limit):
    """Return the requests that a target with a limit may get in a window."""
    return 1.5 * WINDOW_S * limit + 5


def most_in_a_window(times):
    return max(sum(at <= each < at + WINDOW_S for each in times) for at in times)


async def press(rig, path, *, count, pause, **kwargs):
    """Send requests at a steady rate; return their statuses."""
    calls = []
    for _ in range(count):
        calls.append(asyncio.create_task(rig.fetch(path, **kwargs)))
        await asyncio.sleep(pause)
    return [(await call)[0] for call in calls]


async def test_an_engine_gets_no_more_requests_than_it_names():
    async with gateway(engines=1, plain=0) as rig:
        engine = rig.targets["e0"]
        engine.request_limit = 2.0
        assert (await rig.fetch("/stream/", method="POST", headers=STREAM))[0] == 200
        statuses = await press(
            rig, "/stream/", count=60, pause=0.08, method="POST", headers=STREAM
        )
        assert most_in_a_window(engine.started_at) <= tolerated(2.0)
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 5


async def test_a_plain_target_gets_no_more_requests_than_it_names():
    async with gateway(engines=0, plain=1) as rig:
        target = rig.targets["p0"]
        target.request_limit = 2.0
        assert (await rig.fetch("/safe/"))[0] == 200
        statuses = await press(rig, "/safe/", count=60, pause=0.08)
        assert most_in_a_window(target.started_at) <= tolerated(2.0)
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 5


@pytest.mark.parametrize("kind", ["engines", "plain"])
async def test_requests_go_to_targets_without_a_limit(kind):
    async with gateway(**({"engines": 0, "plain": 0} | {kind: 2})) as rig:
        limited, free = rig.targets.values()
        path, kwargs = "/safe/", {}
        if kind == "engines":
            path, kwargs = "/stream/", {"method": "POST", "headers": STREAM}
        limited.request_limit = 1.0
        await wait_until_limit(rig, limited, path, kwargs)
        statuses = await press(rig, path, count=40, pause=0.08, **kwargs)
        assert statuses == [200] * 40
        assert most_in_a_window(limited.started_at) <= tolerated(1.0)
        assert len(free.started_at) >= 20


async def wait_until_limit(rig, target, path, kwargs):
    """Send requests until one has been answered by a target."""
    async with asyncio.timeout(5.0):
        while not target.started_at:
            await rig.fetch(path, **kwargs)


async def test_a_limit_that_is_not_named_any_more_ends():
    async with gateway(engines=0, plain=1) as rig:
        target = rig.targets["p0"]
        target.request_limit = 3.0
        assert (await rig.fetch("/safe/"))[0] == 200
        await press(rig, "/safe/", count=20, pause=0.02)
        target.request_limit = None
        limits = rig.instance.services.controllers["target-limits"]

        async def ask_again():
            await rig.fetch("/safe/")
            return not limits.status()

        async with asyncio.timeout(5.0):
            while not await ask_again():
                await asyncio.sleep(0.1)
        statuses = await press(rig, "/safe/", count=20, pause=0.01)
        assert statuses == [200] * 20


@pytest.mark.parametrize("value", ["", "many", "nan", "-1", "inf"])
async def test_a_limit_that_is_no_number_is_none(value):
    async with gateway(engines=0, plain=1) as rig:
        target = rig.targets["p0"]
        target.request_limit = value
        statuses = await press(rig, "/safe/", count=10, pause=0.01)
        assert statuses == [200] * 10
