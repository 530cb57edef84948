"""Targets that warm up get what they tolerate, counted at the targets."""

import json

import pytest

from skylarkpost.platform import TARGETS_TOPIC
from tests.gateway.rig import MODEL, configuration, gateway, wait_until
from tests.gateway.test_target_limits import press

STREAM = {"X-Model": MODEL, "X-Token-Count": "100,10", "X-Prompt-Prefix": "aa:50,bb:40"}
RATE = 3.0


def with_warm_up(**fields):
    payload = json.loads(configuration())
    for service in payload["services"]:
        service.update(fields or {"coldStartS": 3.0, "coldPerS": RATE})
    return json.dumps(payload).encode()


def most_in_a_second(times):
    return max(sum(at <= each < at + 1.0 for each in times) for at in times)


def warm_ups(rig):
    return rig.instance.services.controllers["warm-ups"]


@pytest.mark.parametrize("is_model", [False, True])
async def test_a_target_that_warms_up_gets_no_more_than_it_tolerates(is_model):
    count = {"engines": 1, "plain": 0} if is_model else {"engines": 0, "plain": 1}
    path = "/stream/" if is_model else "/safe/"
    kwargs = {"method": "POST", "headers": STREAM} if is_model else {}
    async with gateway(**count, payload=with_warm_up()) as rig:
        (target,) = rig.targets.values()
        for _ in range(10):
            assert (await rig.fetch(path, **kwargs))[0] == 200
        await rig.announce(target, coldLeftMs=60_000)
        await wait_until(lambda: warm_ups(rig).status())
        before = len(target.started_at)
        statuses = await press(rig, path, count=50, pause=0.05, **kwargs)
        cold = target.started_at[before:]
        assert most_in_a_second(cold) <= RATE + 1
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 3
        # Once it is warm, everything goes there again.
        await rig.announce(target, coldLeftMs=0)
        await wait_until(lambda: not warm_ups(rig).status())
        for _ in range(10):
            assert (await rig.fetch(path, **kwargs))[0] == 200


async def test_a_run_that_only_its_steward_knows_warms_up():
    async with gateway(engines=1, plain=0, payload=with_warm_up()) as rig:
        engine = rig.targets["e0"]
        lease_manager = rig.instance.services.controllers["stewardship"].lease_manager
        _, service = lease_manager.engines["e0"]
        now = rig.instance.services.clock()
        newer = f"e0/{engine.start_time_ms + 1000}"
        assert warm_ups(rig).is_limited(newer, service, now)
        assert not warm_ups(rig).is_limited(f"e0/{engine.start_time_ms}", service, now)


@pytest.mark.parametrize("left", [-5, "soon", 1e300, None])
async def test_an_odd_announcement_leaves_the_last_valid_one(left):
    async with gateway(engines=0, plain=2, payload=with_warm_up()) as rig:
        target = rig.targets["p0"]
        await rig.announce(target, coldLeftMs=left)
        await rig.announce(rig.targets["p1"], coldLeftMs=50_000)
        await wait_until(lambda: warm_ups(rig).status())
        assert list(warm_ups(rig).status()) == [f"p1/{target.start_time_ms}"]
        assert (await rig.fetch("/safe/"))[0] == 200


@pytest.mark.parametrize("rate", [-1.0, "fast", 1e300])
async def test_an_odd_rate_leaves_the_last_valid_configuration(rate):
    async with gateway(engines=0, plain=1, payload=with_warm_up()) as rig:
        payload = json.loads(with_warm_up(coldStartS=3.0, coldPerS=rate))
        payload["version"] += 1
        await rig.store.put("keyed.op", "config", json.dumps(payload).encode())
        payload = json.loads(with_warm_up())
        payload["version"] += 2
        await rig.configure(json.dumps(payload).encode())
        state = rig.instance.services.controllers["config"].state
        assert state.configuration.services["plain"].warm_up.rate == RATE


async def test_without_a_rate_in_the_configuration_nothing_is_limited():
    async with gateway(engines=0, plain=1) as rig:
        target = rig.targets["p0"]
        await rig.announce(target, coldLeftMs=60_000)
        await wait_until(lambda: warm_ups(rig).status())
        statuses = await press(rig, "/safe/", count=20, pause=0.02)
        assert statuses == [200] * 20


async def test_a_target_is_dropped_with_its_warm_up_unheard():
    async with gateway(engines=0, plain=2, payload=with_warm_up()) as rig:
        await rig.announce(rig.targets["p0"], coldLeftMs=60_000)
        await rig.store.put(TARGETS_TOPIC, "p0", b"")
        directory = rig.instance.services.controllers["directory"].targets
        await wait_until(
            lambda: directory.find("p0", rig.instance.services.clock()) is None
        )
        assert (await rig.fetch("/safe/"))[0] == 200
