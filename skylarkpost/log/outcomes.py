"""What the platform's log answers, as values."""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "LogRecord",
    "LogUnavailable",
    "Records",
]


class LogRecord(NamedTuple):
    """One record of a stream.

    Attributes
    ----------
    offset : int
        Its place in the stream, from 0 without gaps.
    time : float
        When it was appended, in seconds of the log's wall clock.
    data : dict
        The record as it was appended.
    """

    offset: int
    time: float
    data: dict


@dataclass(frozen=True, kw_only=True)
class Appended:
    """Records that are on the log.

    Parameters
    ----------
    first_offset : int
        Offset of the first one; the others follow without gaps.
    """

    first_offset: int


@dataclass(frozen=True, kw_only=True)
class AppendUnknown:
    """An append that brought no answer; it may have taken effect.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class AppendRefused:
    """An append that certainly had no effect.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class Records:
    """A piece of a stream.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the log still keeps.
    next_offset : int
        End of the stream: the offset that the next record will get.
    records : list of LogRecord
        Consecutive records, starting at the offset asked for or at
        `first_offset`, whichever is later.
    """

    first_offset: int
    next_offset: int
    records: list[LogRecord]


@dataclass(frozen=True, kw_only=True)
class LogUnavailable:
    """A read that failed.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str
