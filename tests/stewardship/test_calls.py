import asyncio

import pytest

from skylarkpost.rpc import CallFailed
from skylarkpost.stewardship.calls import call_steward


async def closed_channel(request, timeout):
    raise asyncio.CancelledError


async def test_a_call_whose_channel_is_closed_has_failed_and_the_task_goes_on():
    answer = await call_steward(closed_channel, None, timeout=1.0)
    assert isinstance(answer, CallFailed) and answer.maybe_carried_out


async def test_a_task_that_is_cancelled_itself_ends():
    async def wait(request, timeout):
        await asyncio.Event().wait()

    task = asyncio.create_task(call_steward(wait, None, timeout=1.0))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
