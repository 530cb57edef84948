"""HTTP/1.1 on sockets: callers on one side, targets on the other."""

from skylarkpost.transport.calls import (
    CallAnswer,
    CallLost,
    call_target,
    encode_request,
)
from skylarkpost.transport.client import (
    AnswerBroken,
    AnswerHead,
    ConnectFailed,
    TargetConnection,
    open_connection,
)
from skylarkpost.transport.pool import ConnectionPool, NoConnection
from skylarkpost.transport.server import (
    BodyBrokenError,
    CallerConnection,
    IncomingRequest,
    PlainAnswer,
)

__all__ = [
    "AnswerBroken",
    "AnswerHead",
    "BodyBrokenError",
    "CallAnswer",
    "CallLost",
    "CallerConnection",
    "ConnectFailed",
    "ConnectionPool",
    "IncomingRequest",
    "NoConnection",
    "PlainAnswer",
    "TargetConnection",
    "call_target",
    "encode_request",
    "open_connection",
]
