"""Simulation of the platform's log: one stream, retained for the whole replay."""

from typing import NamedTuple

__all__ = ["LogRecord", "StateLog"]

APPEND_S = 0.01


class LogRecord(NamedTuple):
    """One record with its offset and its time in seconds."""

    offset: int
    time: float
    data: dict


class StateLog:
    """Log to which records are appended.

    Parameters
    ----------
    replay : lab.replay.Replay
        Provides the reachability of the platform.

    Attributes
    ----------
    records : list of LogRecord
        All records, ordered by offset.
    """

    def __init__(self, *, replay):
        self.replay = replay
        self.records = []

    def append(self, data, *, data_centre, done=None):
        """Append a record; dropped if the log is unreachable.

        Parameters
        ----------
        data : dict
            The record.
        data_centre : str
            Data centre of the writer.
        done : callable or None
            Called with the offset of the record.
        """
        if self.replay.platform_reachable(data_centre):
            self.replay.scheduler.call_later(APPEND_S, self._append, data, done)

    def _append(self, data, done):
        record = LogRecord(len(self.records), self.replay.now, data)
        self.records.append(record)
        if done is not None:
            done(record.offset)
