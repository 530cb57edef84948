import asyncio
import signal

import pytest

from standins.fleet import Fleet, FleetShape

pytestmark = pytest.mark.processes

# Silence is detected after three missed heartbeats and a probe.
DETECTION_S = 6.0
INSTANCES = (("entry-1", "ikeja"), ("entry-2", "ikeja"), ("entry-3", "yaba"))


def small_fleet(directory):
    shape = FleetShape(instances=INSTANCES, engines=(), services=())
    return Fleet(shape=shape, directory=directory)


async def seen_by(fleet, name):
    """Return state and boot of all members, as reported by one instance."""
    status = await fleet.get(name, "/admin/status")
    members = status["controllers"]["membership"]["members"]
    return {m["instance"]: (m["state"], m["boot"]) for m in members}


async def sees(fleet, name, **states):
    wanted = {key.replace("_", "-"): state for key, state in states.items()}

    async def holds():
        try:
            seen = await seen_by(fleet, name)
        except OSError:
            return False
        return all(seen.get(m, ("",))[0] == state for m, state in wanted.items())

    async with asyncio.timeout(DETECTION_S + 10.0):
        while not await holds():
            await asyncio.sleep(0.1)


async def all_live(fleet):
    for name, _ in INSTANCES:
        await sees(fleet, name, entry_1="live", entry_2="live", entry_3="live")


async def test_a_paused_process_is_silent_and_detects_its_own_pause(tmp_path):
    async with small_fleet(tmp_path) as fleet:
        await all_live(fleet)
        fleet.processes["entry-2"].send(signal.SIGSTOP)
        for name in ("entry-1", "entry-3"):
            await sees(fleet, name, entry_2="silent")
        fleet.processes["entry-2"].send(signal.SIGCONT)
        await all_live(fleet)
        status = await fleet.get("entry-2", "/admin/status")
        assert status["controllers"]["membership"]["pauses"] >= 1


async def test_a_killed_process_is_replaced_under_the_same_id(tmp_path):
    async with small_fleet(tmp_path) as fleet:
        await all_live(fleet)
        _, old_boot = (await seen_by(fleet, "entry-1"))["entry-3"]
        await fleet.processes["entry-3"].kill()
        await sees(fleet, "entry-1", entry_3="silent")
        await fleet.start_instance("entry-3")
        await all_live(fleet)
        _, new_boot = (await seen_by(fleet, "entry-1"))["entry-3"]
        assert new_boot != old_boot


async def test_members_cut_from_the_platform_stay_live_to_each_other(tmp_path):
    async with small_fleet(tmp_path) as fleet:
        await all_live(fleet)
        await fleet.cut_platform(*(name for name, _ in INSTANCES))
        _, old_boot = (await seen_by(fleet, "entry-1"))["entry-2"]
        await fleet.processes["entry-2"].kill()
        await sees(fleet, "entry-1", entry_2="silent")
        await fleet.start_instance("entry-2")
        # It cannot reach the platform either; it learns of the others by heartbeats.
        await all_live(fleet)
        for name in ("entry-1", "entry-3"):
            assert (await seen_by(fleet, name))["entry-2"][1] != old_boot
