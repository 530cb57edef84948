"""A log handler that never waits for its reader and bounds what it writes."""

import logging
import os

from skylarkpost.eventlog.keyvalue import format_event

__all__ = ["BoundedHandler", "LineBudget"]

# A busy instance decides some hundred times a second; a fault that logs in a
# loop must not take the processor from requests.
LINES_PER_S = 600.0
LINES_AT_ONCE = 3000.0
STDOUT = 1


class LineBudget:
    """A bucket of log lines.

    Parameters
    ----------
    rate : float
        Lines a second in the long run.
    burst : float
        Lines at once.

    Examples
    --------
    >>> budget = LineBudget(rate=1.0, burst=2.0)
    >>> [budget.take(now=0.0) for _ in range(3)], budget.take(now=1.0)
    ([True, True, False], True)
    """

    def __init__(self, *, rate=LINES_PER_S, burst=LINES_AT_ONCE):
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.at = None

    def take(self, *, now):
        """Take one line.

        Parameters
        ----------
        now : float
            The present time, in seconds; it may jump.

        Returns
        -------
        bool
            Whether there was one.
        """
        if self.at is not None:
            elapsed = max(0.0, now - self.at)
            self.left = min(self.burst, self.left + elapsed * self.rate)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor; drops and counts what cannot be written.

    Warnings and errors are written beyond the budget.

    Parameters
    ----------
    descriptor : int
        Where to; it is set to return at once instead of blocking.
    budget : LineBudget or None
        Bounds the lines below warnings.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last one that told so.
    """

    def __init__(self, *, descriptor=STDOUT, budget=None):
        super().__init__()
        self.descriptor = descriptor
        self.budget = budget or LineBudget()
        self.dropped = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write one record. See `logging.Handler`."""
        in_budget = self.budget.take(now=record.created)
        if not in_budget and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        if self.dropped:
            text = format_event("lines-dropped", {"count": self.dropped})
            notice = logging.makeLogRecord(
                {"msg": text, "levelno": logging.WARNING, "levelname": "WARNING"}
            )
            if self._write(notice):
                self.dropped = 0
        if not self._write(record):
            self.dropped += 1

    def _write(self, record):
        try:
            if self._rest:
                # The end of a line that was written in part comes first.
                written = os.write(self.descriptor, self._rest)
                self._rest = self._rest[written:]
                if self._rest:
                    return False
            line = (self.format(record) + "\n").encode("utf-8", "replace")
            written = os.write(self.descriptor, line)
            self._rest = line[written:]
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; there is nowhere to say so.
            return False
        return True
