"""Fake of the platform's log: one stream, kept for the whole replay."""

from typing import NamedTuple

__all__ = ["LogRecord", "StateLog"]

APPEND_S = 0.01


class LogRecord(NamedTuple):
    """One record with its offset, and its time in seconds."""

    offset: int
    time: float
    data: dict


class StateLog:
    """Appends records and hands them to readers.

    Parameters
    ----------
    replay : lab.replay.Replay
        Tells which data centres reach the platform.

    Attributes
    ----------
    records : list of LogRecord
        All records, by offset.
    """

    def __init__(self, *, replay):
        self.replay = replay
        self.records = []

    def append(self, data, *, data_centre, done=None):
        """Append a record; nothing happens while the log cannot be reached.

        Parameters
        ----------
        data : dict
            The record.
        data_centre : str
            Where the writer is.
        done : callable or None
            Called with the offset.
        """
        if self.replay.platform_reachable(data_centre):
            self.replay.scheduler.call_later(APPEND_S, self._append, data, done)

    def _append(self, data, done):
        record = LogRecord(len(self.records), self.replay.now, data)
        self.records.append(record)
        if done is not None:
            done(record.offset)
