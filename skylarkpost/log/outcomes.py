"""Results of calls to the platform's log."""

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
        Offset in the stream; offsets start at 0 and have no gaps.
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
    """An append that succeeded.

    Parameters
    ----------
    first_offset : int
        Offset of the first record; the others follow without gaps.
    """

    first_offset: int


@dataclass(frozen=True, kw_only=True)
class AppendUnknown:
    """An append with an unknown outcome; it may have taken effect.

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
    """Consecutive records of a stream.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the log retains.
    next_offset : int
        End of the stream: the offset of the next record appended.
    records : list of LogRecord
        Records from the requested offset or `first_offset` on, whichever is later.
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
    is_malformed : bool
        Whether the answer came whole and one of its records can't be decoded, so that
        asking again doesn't help.
    """

    detail: str
    is_malformed: bool = False
