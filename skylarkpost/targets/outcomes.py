"""What became of a request or an order to a target, as values."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

__all__ = [
    "Accepted",
    "Answered",
    "MayHaveRun",
    "NotRun",
    "OrderDone",
    "OrderFailed",
    "OrderNotAccepted",
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
    """The engine took the request and sends its answer as a stream.

    Parameters
    ----------
    stream : skylarkpost.targets.EngineStream
        The answer; the receiver has to close it.
    boot : str or None
        Boot id of the engine.
    """

    stream: Any
    boot: str | None


@dataclass(frozen=True, kw_only=True)
class Answered:
    """A whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers that may be handed on, by lower-case name.
    body : bytes
        The answer.
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
        ``"not-connected"``, or the code that the target gave, e.g.
        ``"adapter-not-loaded"``.
    detail : str
        What happened.
    """

    code: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """No whole answer came, and the request may have run.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class StreamUnknown:
    """The engine does not have the stream that was to be resumed.

    Parameters
    ----------
    code : str
        The code that the engine gave.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class TargetUnavailable:
    """The target did not answer a question that has no effect.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class OrderDone:
    """The order was carried out.

    Parameters
    ----------
    boot : str or None
        Boot id of the engine that did it.
    """

    boot: str | None


@dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """The order was refused before anything was done.

    Parameters
    ----------
    code : str
        ``"not-connected"`` or the engine's code, e.g.
        ``"stale-fencing-number"``.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class OrderFailed:
    """The engine tried to carry the order out and failed.

    Parameters
    ----------
    code : str
        The engine's code, e.g. ``"load-failed"``.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class OrderNotAccepted:
    """The order was refused or not sent, for no fault of what it is about.

    Where an answer to an earlier copy was lost, that copy may have been carried
    out; the next report tells.

    Parameters
    ----------
    code : str
        Why.
    """

    code: str


@dataclass(frozen=True, kw_only=True)
class OrderUnknown:
    """No answer came; the order may have been or still be carried out.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str


class StreamEvent(NamedTuple):
    """One server-sent event.

    Attributes
    ----------
    id : int
        Its number in the stream, from 1.
    data : bytes
        Its data; ``[DONE]`` in the last one.
    """

    id: int
    data: bytes


@dataclass(frozen=True, kw_only=True)
class StreamKeepAlive:
    """A comment line, by which the engine shows that the stream goes on."""


@dataclass(frozen=True, kw_only=True)
class StreamEnded:
    """The stream came to its regular end."""


@dataclass(frozen=True, kw_only=True)
class StreamBroken:
    """The stream ended early or went silent; it may be resumed.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str
