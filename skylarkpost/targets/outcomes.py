"""Outcomes of requests, orders and queries to targets."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

__all__ = [
    "Accepted",
    "Answered",
    "MayHaveRun",
    "NotRun",
    "OrderDone",
    "OrderFailed",
    "OrderNotGiven",
    "OrderRefused",
    "OrderUnknown",
    "StreamBroken",
    "StreamEnded",
    "StreamEvent",
    "StreamKeepAlive",
    "StreamUnknown",
    "TargetUnavailable",
]


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The engine accepted the request and streams its answer.

    Parameters
    ----------
    stream : skylarkpost.targets.EngineStream
        The answer; the caller must close it.
    boot : str or None
        Boot id of the engine.
    """

    stream: Any
    boot: str | None


@dataclass(frozen=True, kw_only=True)
class Answered:
    """A complete answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        End-to-end headers, by lower-case name.
    body : bytes
        Body of the answer.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request certainly did not run.

    Parameters
    ----------
    code : str
        ``"not-connected"``, or the error code of the target, e.g.
        ``"adapter-not-loaded"``.
    detail : str
        Description of what happened.
    """

    code: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """No complete answer was received, and the request may have run.

    Parameters
    ----------
    detail : str
        Description of what happened.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class StreamUnknown:
    """The engine does not know the stream to be resumed.

    Parameters
    ----------
    code : str
        Error code of the engine.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class TargetUnavailable:
    """The target did not answer a query without side effects.

    Parameters
    ----------
    detail : str
        Description of what happened.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class OrderDone:
    """The order was executed.

    Parameters
    ----------
    boot : str or None
        Boot id of the engine that executed the order.
    """

    boot: str | None


@dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """The engine was not reached or refused the order before executing it.

    Parameters
    ----------
    code : str
        ``"not-connected"`` or the engine's code, e.g.
        ``"stale-fencing-number"``.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class OrderFailed:
    """The engine tried to execute the order and failed.

    Parameters
    ----------
    code : str
        The engine's code, e.g. ``"load-failed"``.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class OrderNotGiven:
    """The order was refused or not sent, for reasons unrelated to its content.

    If the answer to an earlier transmission was lost, the order may have been
    executed; the next report shows whether it was.

    Parameters
    ----------
    code : str
        Reason, the value of an `OrderVerdict`.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class OrderUnknown:
    """The outcome is unknown; the order may have been or may yet be executed.

    Parameters
    ----------
    detail : str
        Description of what happened.
    """

    detail: str


class StreamEvent(NamedTuple):
    """One server-sent event.

    Attributes
    ----------
    id : int
        Number of the event in the stream, from 1.
    data : bytes
        Data of the event; ``[DONE]`` in the last one.
    """

    id: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class StreamKeepAlive:
    """A comment line that the engine sends to keep the stream alive."""


@dataclass(frozen=True, kw_only=True)
class StreamEnded:
    """The stream ended regularly."""


@dataclass(frozen=True, kw_only=True)
class StreamBroken:
    """The stream ended early or stopped responding; it may be resumed.

    Parameters
    ----------
    detail : str
        Description of what happened.
    """

    detail: str
