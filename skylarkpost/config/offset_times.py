"""Remembers about when which offset was written."""

from collections import deque

__all__ = ["OffsetTimes"]

MAX_MARKS = 512


class OffsetTimes:
    """Maps log times to offsets, with a bounded number of marks.

    Attributes
    ----------
    marks : collections.deque of tuple of (float, int)
        Log time in seconds and offset, both rising.
    """

    def __init__(self):
        self.marks = deque()
        self._spacing_s = 0.0

    def note(self, *, time, offset):
        """Note when a record was written.

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

    def forget_before(self, time):
        """Drop all marks older than a moment but the newest of them.

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
        """Return an offset that was written at or after a moment.

        Parameters
        ----------
        time : float
            Log time, in seconds.

        Returns
        -------
        int
            At least the first offset written at `time` or later, as far as the
            marks can tell; 0 if all marks are older and nothing is old.
        """
        for marked_time, offset in reversed(self.marks):
            if marked_time < time:
                return offset + 1
        return 0

    def _set_spacing(self):
        span = self.marks[-1][0] - self.marks[0][0]
        self._spacing_s = 2 * span / MAX_MARKS
