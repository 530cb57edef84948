"""Calls to peers that survive the replacement of their channel."""

import asyncio

from skylarkpost.rpc import CallFailed, call_peer

__all__ = ["call_steward"]


async def call_steward(method, request, *, timeout):
    """Call a peer; a call whose channel is closed meanwhile has failed.

    Closing a channel ends its calls with `asyncio.CancelledError`, although
    nobody has cancelled the task that waits for them.

    Parameters
    ----------
    method : callable
        Method of a generated stub.
    request : google.protobuf.message.Message
        The message.
    timeout : float
        Seconds until the call is given up.

    Returns
    -------
    google.protobuf.message.Message or CallFailed
        The answer, or why there is none.
    """
    try:
        return await call_peer(method, request, timeout=timeout)
    except asyncio.CancelledError:
        if asyncio.current_task().cancelling():
            raise
        return CallFailed(code="CANCELLED", maybe_carried_out=True)
