"""Buffer of the latest records of a stream, for peers that lag slightly."""

from collections import deque
from typing import NamedTuple

__all__ = ["RecentRecords", "StreamRecord"]


class StreamRecord(NamedTuple):
    """A record as it was read from the log.

    Attributes
    ----------
    offset : int
        Its offset.
    time : float
        Its wall-clock time by the log, in seconds.
    data : dict
        The record.
    """

    offset: int
    time: float
    data: dict


class RecentRecords:
    """Keeps the latest records, without gaps.

    Parameters
    ----------
    limit : int
        Maximum number of records; the oldest are dropped.

    Attributes
    ----------
    next_offset : int
        One more than the offset of the last record.
    """

    def __init__(self, *, limit):
        self.records = deque(maxlen=limit)
        self.next_offset = 0

    def add(self, record):
        """Add a record; a gap drops the earlier ones.

        Parameters
        ----------
        record : StreamRecord
            Record with a higher offset than the last one.
        """
        if record.offset != self.next_offset:
            self.records.clear()
        self.records.append(record)
        self.next_offset = record.offset + 1

    def since(self, offset):
        """Return all records from an offset on.

        Parameters
        ----------
        offset : int
            First offset to return.

        Returns
        -------
        list of StreamRecord or None
            None if some of them are no longer kept.
        """
        if offset >= self.next_offset:
            return []
        if not self.records or offset < self.records[0].offset:
            return None
        return [record for record in self.records if record.offset >= offset]
