import asyncio
import contextlib
import random
from types import SimpleNamespace

import grpc
import pytest

from skylarkpost.listing import InstanceList, ListedInstance
from skylarkpost.membership import MembershipController, MemberState
from skylarkpost.metrics import Metrics
from skylarkpost.rpc import PeerChannels
from standins.fleet import free_port


class FakeInstances:
    """Fake client of the platform's instance list."""

    def __init__(self):
        self.available = True
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def push(self, entries, as_of, now):
        listing = InstanceList(as_of=as_of, instances={e.id: e for e in entries})
        for callback in self.callbacks:
            callback(listing, now)


def build_services(name, port, seed):
    loop = asyncio.get_running_loop()
    return SimpleNamespace(
        instance=name,
        boot=f"{1000 + seed:x}-{seed:04x}",
        peer_address=f"127.0.0.1:{port}",
        data_centre="ikeja",
        random=random.Random(seed),
        clock=loop.time,
        instances=FakeInstances(),
        peers=PeerChannels(),
        metrics=Metrics(),
    )


@contextlib.asynccontextmanager
async def running(services):
    controller = MembershipController(services=services)
    server = grpc.aio.server()
    controller.add_to_server(server)
    server.add_insecure_port(services.peer_address)
    await server.start()
    await controller.start()
    try:
        yield controller
    finally:
        await controller.stop()
        await server.stop(0)
        await services.peers.close()


async def until(condition, seconds=10.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


@pytest.mark.processes
async def test_members_find_each_other_exchange_digests_and_notice_an_end():
    ports = {f"e-{number}": free_port() for number in (1, 2)}
    entries = [
        ListedInstance(name, "entry", f"127.0.0.1:{port}", "ikeja", "live")
        for name, port in ports.items()
    ]
    target = ListedInstance("t", "target", "127.0.0.1:9", "ikeja", "live")
    one = build_services("e-1", ports["e-1"], 1)
    two = build_services("e-2", ports["e-2"], 2)
    received = []
    async with running(one) as first:
        async with running(two) as second:
            first.subscribe("load", lambda member, data, now: received.append(data))
            for services in (one, two):
                services.instances.push([*entries, target], 1.0, services.clock())
            await until(lambda: len(first.reachable(one.clock())) == 2)
            await until(lambda: len(second.reachable(two.clock())) == 2)
            second.publish("load", b"busy")
            await until(lambda: received == [b"busy"])
            # The second instance relays a list change that the first never receives.
            leaving = target._replace(state="leaving")
            two.instances.push([*entries, leaving], 2.0, two.clock())
            await until(lambda: first.target_state("t") == "leaving")
            await second.leave()
            (member,) = first.neighbours(one.clock())
            assert member.state is MemberState.LEAVING
        await until(lambda: first.degraded() != [])
        assert [m.instance for m in first.reachable(one.clock())] == ["e-1"]


async def test_a_heartbeat_with_an_unexpected_error_counts_as_missed_and_is_sent_again():
    services = build_services("e-1", free_port(), 1)
    controller = MembershipController(services=services)
    core = controller.core
    listed = ListedInstance("e-2", "entry", "127.0.0.1:9", "ikeja", "live")
    core.apply_instance_list([listed], now=0.0)
    (command,) = core.tick(now=0.0)

    def get(address):
        raise RuntimeError

    services.peers.get = get
    with pytest.raises(RuntimeError):
        await controller._send(command)
    assert core.roster.records["e-2"].missed == 1
    assert [c.instance for c in core.tick(now=5.0)] == ["e-2"]
