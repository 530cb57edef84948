"""gRPC channels to the other instances."""

import asyncio
from dataclasses import dataclass

import grpc

__all__ = ["CallFailed", "PeerChannels", "call_peer"]

CLOSE_GRACE_S = 5.0
CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
)


@dataclass(frozen=True, kw_only=True)
class CallFailed:
    """A call to a peer that failed.

    Parameters
    ----------
    code : str
        gRPC status code, e.g. ``"UNAVAILABLE"``.
    maybe_executed : bool
        Whether the peer may have executed the call nevertheless.
    """

    code: str
    maybe_executed: bool


class PeerChannels:
    """Holds one gRPC channel per peer address and can replace it."""

    def __init__(self):
        self.channels = {}
        self._closing = set()

    def get(self, address):
        """Return the channel to a peer.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the peer.

        Returns
        -------
        grpc.aio.Channel
        """
        if address not in self.channels:
            self.channels[address] = grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            )
        return self.channels[address]

    def renew(self, address):
        """Discard the channel to a peer, so that the next call opens a new one.

        Calls in progress on the old channel have `CLOSE_GRACE_S` to end.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the peer.
        """
        channel = self.channels.pop(address, None)
        if channel is not None:
            closing = channel.close(grace=CLOSE_GRACE_S)
            task = asyncio.get_running_loop().create_task(closing)
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close(self):
        """Close all channels."""
        channels = list(self.channels.values())
        self.channels = {}
        for channel in channels:
            await channel.close()


async def call_peer(method, request, *, timeout):
    """Call one method of a peer.

    Parameters
    ----------
    method : callable
        Method of a generated stub.
    request : google.protobuf.message.Message
        The request message.
    timeout : float
        Seconds until the call fails.

    Returns
    -------
    google.protobuf.message.Message or CallFailed
        The response, or why there is none.
    """
    try:
        return await method(request, timeout=timeout)
    except grpc.aio.AioRpcError as error:
        refused = error.code() in (
            grpc.StatusCode.UNIMPLEMENTED,
            grpc.StatusCode.INVALID_ARGUMENT,
            grpc.StatusCode.FAILED_PRECONDITION,
        )
        return CallFailed(code=error.code().name, maybe_executed=not refused)
    except asyncio.CancelledError:
        # gRPC also raises this when the channel is closed during the call.
        if asyncio.current_task().cancelling():
            raise
        return CallFailed(code="CANCELLED", maybe_executed=True)
