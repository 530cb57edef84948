"""HTTP clients for targets: engines and plain services."""

from skylarkpost.targets.engine_client import EngineClient
from skylarkpost.targets.engine_stream import EngineStream
from skylarkpost.targets.outcomes import (
    Accepted,
    Answered,
    MayHaveRun,
    NotRun,
    OrderDone,
    OrderFailed,
    OrderNotGiven,
    OrderRefused,
    OrderUnknown,
    StreamBroken,
    StreamEnded,
    StreamEvent,
    StreamKeepAlive,
    StreamUnknown,
    TargetUnavailable,
)
from skylarkpost.targets.reports import (
    CacheEvent,
    CacheEvents,
    LoadReport,
    ResidentLoad,
    TargetHealth,
)
from skylarkpost.targets.service_client import ServiceClient
from skylarkpost.targets.sse import EventParser

__all__ = [
    "Accepted",
    "Answered",
    "CacheEvent",
    "CacheEvents",
    "EngineClient",
    "EngineStream",
    "EventParser",
    "LoadReport",
    "MayHaveRun",
    "NotRun",
    "OrderDone",
    "OrderFailed",
    "OrderNotGiven",
    "OrderRefused",
    "OrderUnknown",
    "ResidentLoad",
    "ServiceClient",
    "StreamBroken",
    "StreamEnded",
    "StreamEvent",
    "StreamKeepAlive",
    "StreamUnknown",
    "TargetHealth",
    "TargetUnavailable",
]
