"""Callers outside the limits of the API front end; see the gateway's tests."""

import os
import pathlib

import pytest

from standins.gateway_configuration import KEY
from tests.processes.crowds import (
    SHAPES,
    crowd,
    large_chunks,
    many_connections,
    over_the_limit,
    stated_length,
    tiny_chunks,
)
from tests.processes.fleets import SETTINGS, running_fleet

pytestmark = pytest.mark.processes

MEMORY_MB = 160
DESCRIPTORS = 400
LIMITS = f"""
[process]
memory_mb = {MEMORY_MB}
descriptors = {DESCRIPTORS}
"""
INSTANCE = "entry-1"


def peak_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


@pytest.mark.parametrize(
    "shape",
    [large_chunks, stated_length, over_the_limit, tiny_chunks, many_connections],
    ids=lambda shape: shape.__name__,
)
async def test_a_crowd_outside_the_limits_ends_no_daemon(tmp_path, shape):
    assert SHAPES[shape] >= 60
    async with running_fleet(
        tmp_path, instances=((INSTANCE, "windhoek-a"),), settings=SETTINGS + LIMITS
    ) as (fleet, caller):
        process = fleet.processes[INSTANCE]
        address = fleet.urls[INSTANCE].removeprefix("http://")

        def translate(piece):
            if not piece.startswith(b"POST "):
                return piece
            head = piece.replace(b" /safe/ ", b" /v1/chat/completions ", 1)
            return head.replace(
                KEY.encode(),
                caller.headers["Authorization"].removeprefix("Bearer ").encode(),
                1,
            )

        async with crowd(address, shape, translate=translate):
            reply = await caller.chat(INSTANCE, "plan-0", "ordinary", max_tokens=2)
            assert reply.status == 200
            assert len(os.listdir(f"/proc/{process.child.pid}/fd")) <= DESCRIPTORS
        assert process.is_running()
        assert peak_mb(process.child.pid) <= MEMORY_MB
