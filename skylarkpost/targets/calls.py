"""One HTTP call to a target, with its outcome as a value."""

from dataclasses import dataclass

import aiohttp
import msgspec
import yarl

from skylarkpost.targets.outcomes import Answered, MayHaveRun, NotRun

__all__ = ["CONNECT_TIMEOUT_S", "NOT_SENT_ERRORS", "Call", "error_code", "perform"]

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16_777_216

# Raised before a byte of the request was sent.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)

# About one connection, or added by the client itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class ErrorDetail(msgspec.Struct):
    """The error of an engine on the wire."""

    code: str = ""


class ErrorOnWire(msgspec.Struct):
    """An error answer of an engine on the wire."""

    error: ErrorDetail


@dataclass(frozen=True, kw_only=True)
class Call:
    """What is sent to a target.

    Parameters
    ----------
    method : str
        HTTP method.
    address : str
        ``IP:PORT`` of the target.
    path : str
        Path and query, already encoded.
    headers : dict of str to str
        None of them holds a key.
    body : bytes or None
        What to send.
    timeout : float
        Seconds for the whole call.
    """

    method: str
    address: str
    path: str
    headers: dict[str, str]
    body: bytes | None
    timeout: float


def request(session, call, *, timeout):
    """Begin a call.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Pooled or for new connections.
    call : Call
        What to send.
    timeout : aiohttp.ClientTimeout
        Bounds of every wait.

    Returns
    -------
    aiohttp.client._RequestContextManager
        To be awaited or entered.
    """
    headers = {k: v for k, v in call.headers.items() if is_end_to_end(k)}
    return session.request(
        call.method,
        yarl.URL(f"http://{call.address}{call.path}", encoded=True),
        headers=headers,
        data=call.body,
        timeout=timeout,
        allow_redirects=False,
        auto_decompress=False,
        skip_auto_headers=AUTOMATIC_HEADERS,
    )


async def perform(session, call):
    """Carry out one call and read its whole answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Pooled or for new connections.
    call : Call
        What to send.

    Returns
    -------
    Answered or NotRun or MayHaveRun
    """
    timeout = aiohttp.ClientTimeout(total=call.timeout, sock_connect=CONNECT_TIMEOUT_S)
    try:
        async with request(session, call, timeout=timeout) as response:
            body = await _read_bounded(response)
    except NOT_SENT_ERRORS as error:
        return NotRun(code="not-connected", detail=str(error))
    except TimeoutError:
        return MayHaveRun(detail="no answer in time")
    except (aiohttp.ClientError, OSError) as error:
        return MayHaveRun(detail=f"connection lost: {error!r}")
    if body is None:
        return MayHaveRun(detail="the answer is too long")
    return Answered(
        status=response.status, headers=end_to_end_headers(response.headers), body=body
    )


def end_to_end_headers(headers):
    """Return the headers that are not about one connection.

    Parameters
    ----------
    headers : mapping of str to str
        As they came.

    Returns
    -------
    dict of str to str
        By lower-case name; repeated ones are joined.
    """
    kept = {}
    for name, value in headers.items():
        if is_end_to_end(name):
            key = name.lower()
            kept[key] = f"{kept[key]}, {value}" if key in kept else value
    return kept


def is_end_to_end(name):
    """Return whether a header is not about one connection."""
    return name.lower() not in HOP_BY_HOP_HEADERS


def error_code(body):
    """Return the code of an engine's error answer.

    Parameters
    ----------
    body : bytes
        The answer.

    Returns
    -------
    str
        Empty if it has none.
    """
    try:
        return msgspec.json.decode(body, type=ErrorOnWire).error.code
    except msgspec.DecodeError:
        return ""


async def _read_bounded(response):
    pieces = []
    size = 0
    async for piece in response.content.iter_any():
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            response.close()
            return None
        pieces.append(piece)
    return b"".join(pieces)
