"""Another writer leaves odd entries in the topics that the gateway follows."""

import json

import pytest

from skylarkpost.gateway.fleet import INSTANCES_TOPIC
from skylarkpost.gateway.lease_manager import LEASES_TOPIC
from skylarkpost.platform import OPERATOR_TOPIC, TARGETS_TOPIC
from tests.gateway.rig import configuration, gateway, wait_until

DEEP = b'{"service": "plain", "unasked": ' + b"[" * 60_000 + b"]" * 60_000 + b"}"
ROUNDS = 12


@pytest.mark.parametrize("topic", [TARGETS_TOPIC, LEASES_TOPIC, INSTANCES_TOPIC])
async def test_an_entry_nested_deeply_hides_no_other(topic):
    """Guards against a follower that one odd entry ends."""
    async with gateway(engines=0, plain=3) as rig:
        late = rig.targets["p2"]
        await rig.store.put(TARGETS_TOPIC, late.name, b"")
        await rig.store.put(topic, "odd", DEEP)
        directory = rig.instance.services.controllers["directory"].targets
        await wait_until(lambda: len(directory.entries) == 2)
        await rig.announce(late)
        await wait_until(lambda: len(directory.entries) == 3)
        for _ in range(ROUNDS):
            assert (await rig.fetch("/safe/"))[0] == 200
        assert late.executed


async def test_a_configuration_nested_deeply_hides_no_later_one():
    """Guards against a follower that one odd entry ends."""
    async with gateway(engines=0, plain=1) as rig:
        await rig.store.put(OPERATOR_TOPIC, "config", DEEP)
        await rig.store.put(OPERATOR_TOPIC, "version/odd", DEEP)
        await rig.configure(configuration(version=9))
        assert (await rig.fetch("/safe/"))[0] == 200


@pytest.mark.parametrize("port", [70_000, 0, 10**30])
async def test_an_entry_with_a_port_out_of_range_costs_no_request(port):
    """Guards against an address that passes the decoder and fails in a request."""
    async with gateway(engines=0, plain=1) as rig:
        entry = json.loads(rig.targets["p0"].entry("plain", "yaba"))
        odd = json.dumps(entry | {"address": f"127.0.0.1:{port}"}).encode()
        await rig.store.put(TARGETS_TOPIC, "odd", odd)
        await rig.announce(rig.targets["p0"], slots=9)
        directory = rig.instance.services.controllers["directory"].targets
        await wait_until(lambda: directory.entries["p0"].slots == 9)
        for _ in range(ROUNDS):
            assert (await rig.fetch("/safe/"))[0] == 200
