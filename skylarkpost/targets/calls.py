"""Single HTTP calls to targets; outcomes are returned as values."""

from dataclasses import dataclass

import aiohttp
import msgspec
import yarl

from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.targets.outcomes import Answered, MayHaveRun, NotRun

__all__ = [
    "CONNECT_TIMEOUT_S",
    "NOT_SENT_ERRORS",
    "Call",
    "error_code",
    "perform",
    "read_bounded",
]

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16_777_216

# Errors raised before any byte of the request was sent.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)

# Headers that belong to one connection or that the HTTP stack sets itself.
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
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# RFC 9110, 15: an answer with any other status is invalid.
FINAL_STATUSES = range(200, 600)
AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class ErrorDetail(msgspec.Struct):
    """Wire format of the ``error`` object of an engine."""

    code: str = ""


class ErrorOnWire(msgspec.Struct):
    """Wire format of an error answer of an engine."""

    error: ErrorDetail


@dataclass(frozen=True, kw_only=True)
class Call:
    """An HTTP call to a target.

    Parameters
    ----------
    method : str
        HTTP method.
    address : str
        ``IP:PORT`` of the target.
    path : str
        Path and query, already encoded.
    headers : dict of str to str
        Headers; they must not contain an API key.
    body : bytes or None
        Request body.
    timeout : float
        Timeout of the whole call, in seconds.
    """

    method: str
    address: str
    path: str
    headers: dict[str, str]
    body: bytes | None
    timeout: float


def request(session, call, *, timeout):
    """Start a call.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session with pooled or with new connections.
    call : Call
        The call.
    timeout : aiohttp.ClientTimeout
        Timeouts of the call.

    Returns
    -------
    aiohttp.client._RequestContextManager
        To be awaited or used as an asynchronous context manager.
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
    """Perform one call and read its complete answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session with pooled or with new connections.
    call : Call
        The call.

    Returns
    -------
    Answered or NotRun or MayHaveRun
    """
    timeout = aiohttp.ClientTimeout(total=call.timeout, sock_connect=CONNECT_TIMEOUT_S)
    try:
        async with request(session, call, timeout=timeout) as response:
            body = await read_bounded(response)
            is_framed = call.method == "HEAD" or _is_framed(response)
    except NOT_SENT_ERRORS as error:
        return NotRun(code="not-connected", detail=str(error))
    except TimeoutError:
        return MayHaveRun(detail="no answer in time")
    except (aiohttp.ClientError, OSError) as error:
        return MayHaveRun(detail=f"connection lost: {error!r}")
    if body is None:
        return MayHaveRun(detail="the answer is too long")
    if response.status not in FINAL_STATUSES:
        return MayHaveRun(detail=f"status {response.status}")
    if not is_framed:
        # aiohttp reports a reset, or a close on this side, as the end of such a body.
        return MayHaveRun(detail="the answer has neither a length nor chunks")
    return Answered(
        status=response.status, headers=end_to_end_headers(response.headers), body=body
    )


def end_to_end_headers(headers):
    """Return only the end-to-end headers.

    Parameters
    ----------
    headers : mapping of str to str
        Received headers.

    Returns
    -------
    dict of str to str
        By lower-case name; the values of repeated headers are joined.
    """
    kept = {}
    for name, value in headers.items():
        if is_end_to_end(name):
            key = name.lower()
            kept[key] = f"{kept[key]}, {value}" if key in kept else value
    return kept


def is_end_to_end(name):
    """Return whether a header is end-to-end, not hop-by-hop."""
    return name.lower() not in HOP_BY_HOP_HEADERS


def error_code(body):
    """Return the code of an engine's error answer.

    Parameters
    ----------
    body : bytes
        Body of the answer.

    Returns
    -------
    str
        Empty if the body has no error code.
    """
    decoded = decode_json(body, ErrorOnWire)
    return "" if isinstance(decoded, Malformed) else decoded.error.code


def _is_framed(response):
    """Return whether the end of an answer can be told from that of its connection."""
    coding = response.headers.get("Transfer-Encoding", "").lower()
    return (
        "Content-Length" in response.headers
        or coding.rpartition(",")[2].strip() == "chunked"
        or response.status in STATUSES_WITHOUT_BODY
    )


async def read_bounded(response):
    """Read the body of an answer.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer; it is closed if its body is too long.

    Returns
    -------
    bytes or None
        None if the body is too long.
    """
    pieces = []
    size = 0
    async for piece in response.content.iter_any():
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            response.close()
            return None
        pieces.append(piece)
    return b"".join(pieces)
