import asyncio

import grpc
import pytest

from skylarkpost.rpc import CallFailed, PeerChannels, call_peer


class SlowServer:
    """A server with one method that echoes the request after `delay` seconds."""

    def __init__(self, delay):
        self.delay = delay
        self.server = grpc.aio.server()
        handler = grpc.unary_unary_rpc_method_handler(self.echo)
        generic = grpc.method_handlers_generic_handler("test.Echo", {"Echo": handler})
        self.server.add_generic_rpc_handlers((generic,))
        self.port = self.server.add_insecure_port("127.0.0.1:0")

    async def echo(self, request, context):
        await asyncio.sleep(self.delay)
        return request


def echo_method(channels, server):
    return channels.get(f"127.0.0.1:{server.port}").unary_unary("/test.Echo/Echo")


@pytest.fixture
async def server():
    server = SlowServer(delay=0.3)
    await server.server.start()
    yield server
    await server.server.stop(0)


async def test_replacing_a_silent_channel_does_not_cut_calls_on_it(server):
    channels = PeerChannels()
    address = f"127.0.0.1:{server.port}"
    call = asyncio.create_task(
        call_peer(echo_method(channels, server), b"x", timeout=5.0)
    )
    await asyncio.sleep(0.1)
    channels.renew(address)
    assert await call == b"x"
    assert await call_peer(echo_method(channels, server), b"y", timeout=5.0) == b"y"
    await channels.close()


async def test_a_channel_closed_under_a_call_is_a_failed_call_not_a_cancelled_task(
    server,
):
    channels = PeerChannels()
    call = asyncio.create_task(
        call_peer(echo_method(channels, server), b"x", timeout=5.0)
    )
    await asyncio.sleep(0.1)
    await channels.close()
    assert isinstance(await call, CallFailed)


async def test_a_task_that_is_cancelled_stays_cancelled(server):
    channels = PeerChannels()
    call = asyncio.create_task(
        call_peer(echo_method(channels, server), b"x", timeout=5.0)
    )
    await asyncio.sleep(0.1)
    call.cancel()
    with pytest.raises(asyncio.CancelledError):
        await call
    await channels.close()
