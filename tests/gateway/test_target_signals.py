"""Targets that leave or turn away requests say so in their answers.

Requests are counted at the stand-in targets.
"""

import asyncio
import types

import msgspec
import pytest

from skylarkpost.gateway.target_signals import MAX_TOLD
from skylarkpost.platform import TARGETS_TOPIC
from tests.gateway.rig import MODEL, gateway, wait_until

# Rounds in which both targets would get requests.
ROUNDS = 16
# The users tolerate two requests from half a second after the refusal on.
GRACE_S = 0.5
TOLERATED = 2


def headers_of(number):
    return {
        "X-Model": f"{MODEL}/a{number % 2}",
        "X-Token-Count": "100,10",
        "X-Prompt-Prefix": f"aa:50,b{number:x}:40",
    }


async def send(rig, number, is_model):
    if is_model:
        return await rig.fetch("/stream/", method="POST", headers=headers_of(number))
    return await rig.fetch("/safe/")


def signals(rig):
    return rig.instance.services.controllers["target-signals"]


@pytest.mark.parametrize("is_model", [False, True])
@pytest.mark.parametrize("script", [[], ["shed"], ["fail"]])
async def test_a_target_that_says_it_leaves_gets_no_more_requests(is_model, script):
    count = {"engines": 2, "plain": 0} if is_model else {"engines": 0, "plain": 2}
    async with gateway(**count) as rig:
        leaving = next(iter(rig.targets.values()))
        for number in range(ROUNDS):
            await send(rig, number, is_model)
        leaving.script = list(script)
        leaving.is_leaving = True
        for number in range(ROUNDS):
            await send(rig, number, is_model)
        before = len(leaving.started_at)
        for number in range(ROUNDS):
            assert (await send(rig, number, is_model))[0] == 200
        assert len(leaving.started_at) == before
        # A new run of the target isn't leaving.
        leaving.restart()
        await rig.announce(leaving)
        directory = rig.instance.services.controllers["directory"].targets
        await wait_until(lambda: directory.find(leaving.name, 0.0) is not None)


def _sends(rig, target):
    directory = rig.instance.services.controllers["directory"].targets
    return directory.find(target.name, 0.0) is not None


async def test_an_engine_that_leaves_says_so_in_reports_too():
    async with gateway(engines=2, plain=0) as rig:
        rig.targets["e0"].is_leaving = True
        await wait_until(lambda: not _sends(rig, rig.targets["e0"]))
        assert not rig.targets["e0"].started_at


async def test_what_one_instance_heard_the_others_know():
    async with gateway(engines=0, plain=2) as rig:
        controller = signals(rig)
        boot = f"p0/{rig.targets['p0'].start_time_ms}"
        member = types.SimpleNamespace(instance="entry-2")
        controller.receive_digest(member, msgspec.msgpack.encode([boot]), 0.0)
        controller.receive_digest(member, b"\xc1", 0.0)
        for _ in range(ROUNDS):
            assert (await rig.fetch("/safe/"))[0] == 200
        assert not rig.targets["p0"].started_at


async def test_what_is_told_of_leaving_targets_is_bounded():
    async with gateway(engines=0, plain=1) as rig:
        controller, told = signals(rig), []
        controller.directory.has_run = lambda boot: True
        controller.membership.publish = lambda topic, payload: told.append(payload)
        controller.heard = {f"t{n}/1": float(n) for n in range(MAX_TOLD + 9)}
        controller.publish()
        boots = msgspec.msgpack.decode(told[-1])
        assert len(boots) == MAX_TOLD
        assert f"t{MAX_TOLD + 8}/1" in boots


@pytest.mark.parametrize("is_model", [False, True])
async def test_a_target_that_asks_for_a_pause_gets_nothing_meanwhile(is_model):
    count = {"engines": 2, "plain": 0} if is_model else {"engines": 0, "plain": 2}
    async with gateway(**count) as rig:
        for number in range(ROUNDS):
            await send(rig, number, is_model)
        await send(rig, 0, is_model)
        paused = max(rig.targets.values(), key=lambda each: max(each.started_at))
        paused.pause = "1.5"
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            while not signals(rig).pauses.until:
                await send(rig, 0, is_model)
        refused_at = loop.time()
        paused.pause = None
        while loop.time() < refused_at + 1.4:
            assert (await send(rig, 1, is_model))[0] == 200
        late = [at for at in paused.started_at if at > refused_at + GRACE_S]
        assert len(late) <= TOLERATED
        # It isn't judged sick: it gets requests again once the pause is over.
        before = len(paused.started_at)
        async with asyncio.timeout(5):
            while len(paused.started_at) == before:
                await asyncio.gather(
                    *(send(rig, number, is_model) for number in range(ROUNDS))
                )


@pytest.mark.parametrize("is_model", [False, True])
async def test_callers_are_refused_at_once_while_all_targets_pause(is_model):
    count = {"engines": 2, "plain": 0} if is_model else {"engines": 0, "plain": 2}
    async with gateway(**count) as rig:
        for number in range(ROUNDS):
            await send(rig, number, is_model)
        for target in rig.targets.values():
            target.pause = "3"
        async with asyncio.timeout(5):
            while len(signals(rig).pauses.until) < 2:
                assert (await send(rig, 0, is_model))[0] == 503
        counts = [len(target.started_at) for target in rig.targets.values()]
        status, body, headers = await send(rig, 1, is_model)
        assert status == 503
        assert b'"targets-paused"' in body
        assert b'"not-run"' in body
        assert 0 < float(headers["Retry-After"]) <= 3.0
        assert counts == [len(target.started_at) for target in rig.targets.values()]


@pytest.mark.parametrize("value", ["-1", "soon", "0", ""])
async def test_a_pause_that_cannot_be_read_changes_nothing(value):
    async with gateway(engines=0, plain=1) as rig:
        rig.targets["p0"].pause = value
        assert (await rig.fetch("/safe/"))[0] == 503
        rig.targets["p0"].pause = None
        assert (await rig.fetch("/safe/"))[0] == 200


@pytest.mark.parametrize("is_model", [False, True])
@pytest.mark.parametrize("change", [{"state": "draining"}, None])
async def test_a_ticket_from_before_a_target_left_is_not_used(is_model, change):
    """Guards against requests that waited for their ticket while the target left."""
    count = {"engines": 2, "plain": 0} if is_model else {"engines": 0, "plain": 2}
    async with gateway(**count) as rig:
        for number in range(ROUNDS):
            await send(rig, number, is_model)
        controllers = rig.instance.services.controllers
        acquire = controllers["stewardship"].acquire
        leaving = []

        async def acquire_late(exchange, **kwargs):
            ticket = await acquire(exchange, **kwargs)
            if not leaving:
                target = rig.targets[ticket.target]
                leaving.append((target, len(target.started_at)))
                if change is None:
                    await rig.store.put(TARGETS_TOPIC, target.name, b"")
                else:
                    await rig.announce(target, **change)
                directory = controllers["directory"].targets
                now = rig.instance.services.clock()
                await wait_until(lambda: directory.find(target.name, now) is None)
            return ticket

        controllers["stewardship"].acquire = acquire_late
        assert (await send(rig, 0, is_model))[0] == 200
        [(target, before)] = leaving
        assert len(target.started_at) == before
