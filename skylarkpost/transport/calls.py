"""Small calls to a target over kept connections."""

import asyncio
from typing import NamedTuple

from skylarkpost.transport.client import ConnectFailed, ResponseBroken, ResponseHead
from skylarkpost.transport.pool import PoolExhausted

__all__ = ["CallIncomplete", "CallResponse", "call_target", "encode_request"]

# Reports and answers to orders take some kilobytes.
MAX_RESPONSE_BYTES = 1_048_576


class CallResponse(NamedTuple):
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    """

    status: int
    body: bytes


class CallIncomplete(NamedTuple):
    """No whole answer came.

    Attributes
    ----------
    detail : str
        What happened.
    was_sent : bool
        Whether the target may have received the call.
    """

    detail: str
    was_sent: bool


def encode_request(method, target, headers, body):
    """Return the bytes of a request.

    Parameters
    ----------
    method, target : str
        Of the request line.
    headers : list of (str, str)
        Without those of the framing.
    body : bytes
        The whole body.

    Returns
    -------
    bytes
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers if name != "content-length"]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call_target(pool, *, name, address, limit, payload, timeout):
    """Send a call and read its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Connections.
    name, address : str
        Run of the target, and where it is.
    limit : int
        Most connections to it.
    payload : bytes
        Head and body.
    timeout : float
        Longest time, in seconds.

    Returns
    -------
    CallResponse or CallIncomplete
    """
    connection = None
    was_sent = False
    try:
        async with asyncio.timeout(timeout):
            connection = await pool.get(name, address, limit=limit)
            if isinstance(connection, ConnectFailed | PoolExhausted):
                return CallIncomplete(connection.detail, was_sent=False)
            connection.send(payload)
            was_sent = True
            answer = await _read_response(connection)
    except TimeoutError:
        if was_sent:
            connection.abort()
        return CallIncomplete("no answer in time", was_sent)
    except asyncio.CancelledError:
        if was_sent:
            connection.abort()
        raise
    if isinstance(answer, CallResponse):
        pool.release_connection(name, connection)
    else:
        connection.abort()
    return answer


async def _read_response(connection):
    status, body = None, bytearray()
    while True:
        event = await connection.receive()
        if isinstance(event, ResponseBroken):
            return CallIncomplete(event.detail, was_sent=True)
        if isinstance(event, ResponseHead):
            status = event.status
        elif isinstance(event, bytes):
            body += event
            if len(body) > MAX_RESPONSE_BYTES:
                return CallIncomplete("the answer is too long", was_sent=True)
        else:
            return CallResponse(status, bytes(body))
