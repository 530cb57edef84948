"""HTTP/1.1 on sockets: callers on one side, targets on the other."""

from skylarkpost.transport.calls import (
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
