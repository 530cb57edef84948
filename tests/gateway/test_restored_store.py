"""The store comes back from an older copy while a gateway instance serves."""

import asyncio
import time

from skylarkpost.gateway.cause_store import CAUSES_TOPIC
from skylarkpost.gateway.fleet import INSTANCES_TOPIC
from skylarkpost.gateway.lease_manager import LEASES_TOPIC
from skylarkpost.log.positions import era_of
from skylarkpost.platform import OPERATOR_TOPIC
from skylarkpost.quarantine.crash_news import StoredCrashes, encode
from tests.gateway.rig import (
    MODEL,
    ROUTES,
    configuration,
    gateway,
    route,
    wait_until,
)

# Longer than an instance may give orders without reading the leases.
AUTHORITY_LAPSE_S = 4.0

REGISTRATION = b'{"address":"127.0.0.1:9","data_centre":"yaba","boot":"b"}'


async def generate(rig, adapter):
    headers = {
        "X-Model": f"{MODEL}/{adapter}",
        "X-Token-Count": "100,10",
        "X-Prompt-Prefix": "aa:50,bb:40",
    }
    return await rig.fetch("/stream/", method="POST", headers=headers)


async def test_a_route_added_after_a_restore_is_served():
    lost = [*ROUTES, route("lost", "/lost/", "safe")]
    added = [*lost, route("added", "/added/", "safe")]
    async with gateway(engines=0) as rig:
        copied = rig.store.copy()
        await rig.configure(configuration(version=5, routes=lost))
        await rig.store.restore(copied)
        # The store holds version 1 only; version 5 is in force all the same.
        await asyncio.sleep(0.3)
        status, _, _ = await rig.fetch("/lost/1")
        assert status == 200
        payload = configuration(version=7, routes=added)
        await rig.store.put(OPERATOR_TOPIC, "config", payload)
        state = rig.instance.services.controllers["config"].state
        await wait_until(lambda: state.version == 7)
        status, _, _ = await rig.fetch("/added/1")
        assert status == 200


async def test_orders_go_on_after_the_store_has_lost_the_leases():
    async with gateway(engines=1, plain=0) as rig:
        assert (await generate(rig, "a1"))[0] == 200
        numbers = [order.fencing_number for order in rig.targets["e0"].orders]
        copied = rig.store.copy()
        del copied[LEASES_TOPIC]
        await rig.store.restore(copied)
        await asyncio.sleep(AUTHORITY_LAPSE_S)
        assert rig.store.topics[LEASES_TOPIC].newest.keys() == {"e0"}
        assert (await generate(rig, "a2"))[0] == 200
        later = [order.fencing_number for order in rig.targets["e0"].orders]
        assert min(later) >= max(numbers)


async def test_a_leaving_target_gets_nothing_after_the_store_forgot_that_it_leaves():
    async with gateway(engines=0, plain=2) as rig:
        copied = rig.store.copy()
        await rig.announce(rig.targets["p0"], state="draining")
        directory = rig.instance.services.controllers["directory"]
        await wait_until(lambda: len(directory.targets.usable(0.0)) == 1)
        await rig.store.restore(copied)
        await wait_until(lambda: era_of(directory.follower.reached) == 1)
        for _ in range(12):
            assert (await rig.fetch("/safe/"))[0] == 200
        assert not rig.targets["p0"].executed


async def test_a_quarantine_outlasts_the_loss_of_its_record():
    trait = "part:dd"
    async with gateway(engines=1, plain=0) as rig:
        copied = rig.store.copy()
        now = time.time()
        crashes = {"e9/1": (now - 9, now - 10), "e9/2": (now - 5, now - 6)}
        await rig.store.put(CAUSES_TOPIC, trait, encode(StoredCrashes(crashes)))
        controller = rig.instance.services.controllers["crash-suspects"]
        await wait_until(lambda: controller.quarantined)
        await rig.store.restore(copied)
        await wait_until(lambda: era_of(controller.store.follower.reached) == 1)
        assert controller.quarantined
        # Another instance that starts now reads it in the store.
        await wait_until(lambda: trait in rig.store.topics[CAUSES_TOPIC].newest)
        assert controller.quarantined


async def test_an_instance_registers_again_after_the_store_has_lost_its_address():
    async with gateway(engines=0, plain=1) as rig:
        instances = rig.store.topics[INSTANCES_TOPIC]
        fleet = rig.instance.services.controllers["fleet"]
        await rig.store.put(INSTANCES_TOPIC, "other", REGISTRATION)
        await wait_until(lambda: "other" in fleet.instances)
        copied = rig.store.copy()
        copied.pop(INSTANCES_TOPIC)
        for era in (1, 2):
            await rig.store.restore(copied)
            await wait_until(lambda: "entry-1" in instances.newest)
            await wait_until(lambda e=era: era_of(fleet.follower.reached) == e)
        assert len(instances.records) == 1
        # The others are known, until they have registered again.
        assert "other" in fleet.instances
