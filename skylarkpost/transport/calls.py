"""Short request-response calls to a target over pooled connections."""

import asyncio
from typing import NamedTuple

from skylarkpost.transport.client import ConnectFailed, ResponseBroken, ResponseHead
from skylarkpost.transport.pool import PoolExhausted

__all__ = [
    "CallChannel",
    "CallIncomplete",
    "CallResponse",
    "call_target",
    "encode_request",
]

# Reports and responses to orders take a few kilobytes.
MAX_RESPONSE_BYTES = 1_048_576


class CallResponse(NamedTuple):
    """A complete response.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Response body.
    """

    status: int
    body: bytes


class CallIncomplete(NamedTuple):
    """A call that received no complete response.

    Attributes
    ----------
    detail : str
        What happened.
    was_sent : bool
        Whether the target may have received the call.
    """

    detail: str
    was_sent: bool


class CallChannel:
    """The connection of calls that belong together, for example an order and its polls.

    Attributes
    ----------
    connection : TargetConnection or None
        None until the first call, and after a call without a complete response.
    """

    def __init__(self):
        self.connection = None

    def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def encode_request(method, target, headers, body):
    """Serialise an HTTP/1.1 request.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : list of (str, str)
        Headers without ``transfer-encoding``; ``content-length`` is set here.
    body : bytes
        The complete body.

    Returns
    -------
    bytes
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers if name != "content-length"]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call_target(
    pool,
    *,
    name,
    address,
    limit,
    payload,
    timeout,
    is_foreign=None,
    on_head=None,
    channel=None,
):
    """Send a request and read the complete response.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that the connection is taken from.
    name, address : str
        Id of the target's run, and its ``IP:PORT``.
    limit : int
        Maximum number of connections to the target.
    payload : bytes
        Serialised request, see `encode_request`.
    timeout : float
        Timeout of the whole call, in seconds.
    is_foreign : callable or None
        Takes a `ResponseHead` and returns whether it answers an earlier request on
        the same connection; such a response is skipped.
    on_head : callable or None
        Takes the `ResponseHead` of each answer, foreign ones as well.
    channel : CallChannel or None
        Whose connection is used, and which keeps it; a new one at first. None for a
        pooled connection.

    Returns
    -------
    CallResponse or CallIncomplete
    """
    connection = None
    was_sent = False
    try:
        async with asyncio.timeout(timeout):
            connection = _take_connection(channel)
            if connection is None:
                connection = await pool.get(
                    name,
                    address,
                    limit=limit,
                    is_fresh=channel is not None,
                )
            if isinstance(connection, ConnectFailed | PoolExhausted):
                return CallIncomplete(connection.detail, was_sent=False)
            connection.send(payload)
            was_sent = True
            response = await _read_response(connection, is_foreign, on_head)
    except TimeoutError:
        if was_sent:
            connection.abort("no answer in time")
        return CallIncomplete("no answer in time", was_sent)
    except asyncio.CancelledError:
        if was_sent:
            connection.abort("the call was cancelled")
        raise
    if isinstance(response, CallResponse) and channel is not None:
        channel.connection = connection
    elif isinstance(response, CallResponse):
        pool.release_connection(name, connection)
    else:
        connection.abort(response.detail)
    return response


def _take_connection(channel):
    if channel is None or channel.connection is None:
        return None
    connection, channel.connection = channel.connection, None
    if connection.is_reusable:
        return connection
    connection.close()
    return None


async def _read_response(connection, is_foreign, on_head):
    status, body = None, bytearray()
    while True:
        event = await connection.receive()
        if isinstance(event, ResponseBroken):
            return CallIncomplete(event.detail, was_sent=True)
        if isinstance(event, ResponseHead):
            if on_head is not None:
                on_head(event)
            if is_foreign is not None and is_foreign(event):
                await connection.skip_response()
                continue
            status = event.status
        elif isinstance(event, bytes):
            body += event
            if len(body) > MAX_RESPONSE_BYTES:
                return CallIncomplete("the answer is too long", was_sent=True)
        else:
            return CallResponse(status, bytes(body))
