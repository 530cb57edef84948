"""HTTP/1.1 transport: a server for callers and a pooled client for targets."""

from skylarkpost.transport.calls import (
    CallChannel,
    CallIncomplete,
    CallResponse,
    call_target,
    encode_request,
)
from skylarkpost.transport.client import (
    ConnectFailed,
    ResponseBroken,
    ResponseHead,
    TargetConnection,
    open_connection,
)
from skylarkpost.transport.pool import ConnectionPool, PoolExhausted
from skylarkpost.transport.server import (
    BodyBrokenError,
    CallerConnection,
    IncomingRequest,
    PlainResponse,
)

__all__ = [
    "BodyBrokenError",
    "CallChannel",
    "CallIncomplete",
    "CallResponse",
    "CallerConnection",
    "ConnectFailed",
    "ConnectionPool",
    "IncomingRequest",
    "PlainResponse",
    "PoolExhausted",
    "ResponseBroken",
    "ResponseHead",
    "TargetConnection",
    "call_target",
    "encode_request",
    "open_connection",
]
