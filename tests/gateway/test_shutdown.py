"""A planned stop: what is passed on is answered, what can't be finished is refused."""

import asyncio

import pytest

from skylarkpost.gateway.shutdown import GraceBudget
from tests.gateway.rig import gateway, wait_until


def test_a_request_is_passed_on_as_long_as_its_route_usually_takes():
    budget = GraceBudget(grace=8.0)
    for _ in range(40):
        budget.record("plan", 3.0)
        budget.record("book", 0.1)
    assert budget.can_finish("plan", 15.0, 100.0)
    budget.stop_at = 107.0
    assert budget.can_finish("plan", 15.0, 103.9)
    assert not budget.can_finish("plan", 15.0, 104.1)
    assert budget.can_finish("book", 3.0, 106.8)
    assert not budget.can_finish("book", 3.0, 107.0)
    # Nothing is known of this route: half of the grace, or its timeout.
    assert budget.can_finish("new", 15.0, 102.9)
    assert not budget.can_finish("new", 15.0, 103.1)
    assert budget.can_finish("new", 0.5, 106.4)


def test_the_expected_duration_follows_the_requests():
    budget = GraceBudget(grace=8.0)
    budget.stop_at = 10.0
    budget.record("plan", 5.0)
    assert not budget.can_finish("plan", 15.0, 6.0)
    for _ in range(40):
        budget.record("plan", 1.0)
    assert budget.can_finish("plan", 15.0, 8.9)
    assert not budget.can_finish("plan", 15.0, 9.1)


async def stop(rig, *, notice):
    rig.instance.notice = notice
    services = rig.instance.services
    bounds = services.settings.bounds.model_copy(update={"grace_s": 2.0})
    services.settings = services.settings.model_copy(update={"bounds": bounds})
    rig.instance.stop_requested.set()
    await wait_until(lambda: rig.instance.services.draining)


@pytest.mark.parametrize("path", ["/unsafe/", "/safe/"])
async def test_a_request_at_its_target_is_answered_before_the_process_ends(path):
    """Guards against requests that a stop cuts without an answer."""
    async with gateway(engines=0, plain=1) as rig:
        rig.targets["p0"].script = ["silent"]
        method = "POST" if path == "/unsafe/" else "GET"
        headers = {"X-Deadline-Ms": "20000"}
        sending = asyncio.create_task(rig.fetch(path, method=method, headers=headers))
        await wait_until(lambda: rig.targets["p0"].executed)
        await stop(rig, notice=0.1)
        status, _, headers = await sending
        # It may have run, so nothing else may be promised.
        assert status == 502
        assert headers["Connection"] == "close"


async def test_a_request_that_cannot_be_finished_is_refused_and_not_passed_on():
    """Guards against requests that come late in the grace and are cut at its end."""
    async with gateway(engines=0, plain=1) as rig:
        rig.instance.services.grace.durations["unsafe"] = 0.8
        await stop(rig, notice=5.0)
        stop_at = rig.instance.services.grace.stop_at
        assert (await rig.fetch("/unsafe/", method="POST"))[0] == 200
        await wait_until(lambda: rig.instance.services.clock() > stop_at - 0.7)
        executed = len(rig.targets["p0"].executed)
        status, _, headers = await rig.fetch("/unsafe/", method="POST")
        assert status == 503
        assert "Retry-After" in headers
        assert len(rig.targets["p0"].executed) == executed


async def test_a_request_that_waits_for_its_target_is_refused_in_time():
    """Guards against requests that leave the queue when it is too late for them."""
    async with gateway(engines=0, plain=1) as rig:
        controller = rig.instance.services.controllers["stewardship"]
        acquire = controller.acquire
        for _ in range(20):
            rig.instance.services.grace.record("unsafe", 1.0)

        async def acquire_late(exchange, **kwargs):
            await asyncio.wait_for(exchange.cancel_event.wait(), 10)
            return await acquire(exchange, **kwargs)

        controller.acquire = acquire_late
        sending = asyncio.create_task(rig.fetch("/unsafe/", method="POST"))
        await asyncio.sleep(0.1)
        await stop(rig, notice=5.0)
        status, _, _ = await sending
        assert status == 503
        assert not rig.targets["p0"].executed
