"""Approximate write times of log offsets."""

from collections import deque

__all__ = ["OffsetTimes"]

MAX_MARKS = 512


class OffsetTimes:
    """Maps log times to offsets through a bounded number of samples.

    Attributes
    ----------
    marks : collections.deque of tuple of (float, int)
        Log time in seconds and offset, both increasing.
    """

    def __init__(self):
        self.marks = deque()
        self._spacing_s = 0.0

    def note(self, *, time, offset):
        """Record when an offset was written.

        Parameters
        ----------
        time : float
            The log's wall-clock time, in seconds.
        offset : int
            Offset of the record.
        """
        if self.marks and time < self.marks[-1][0] + self._spacing_s:
            return
        self.marks.append((time, offset))
        if len(self.marks) > MAX_MARKS:
            self.marks = deque(list(self.marks)[::2])
            self._set_spacing()

    def drop_before(self, time):
        """Drop all marks older than a given time, except the newest of them.

        Parameters
        ----------
        time : float
            Log time, in seconds.
        """
        dropped = False
        while len(self.marks) > 1 and self.marks[1][0] < time:
            self.marks.popleft()
            dropped = True
        if dropped and self._spacing_s:
            self._set_spacing()

    def offset_at(self, time):
        """Return a lower bound of the offsets written at or after a given time.

        Parameters
        ----------
        time : float
            Log time, in seconds.

        Returns
        -------
        int
            The offset after the newest mark before `time`; 0 if no mark is that
            old.
        """
        for marked_time, offset in reversed(self.marks):
            if marked_time < time:
                return offset + 1
        return 0

    def _set_spacing(self):
        span = self.marks[-1][0] - self.marks[0][0]
        self._spacing_s = 2 * span / MAX_MARKS
