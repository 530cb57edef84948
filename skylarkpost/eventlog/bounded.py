"""Non-blocking, rate-limited log handler."""

import logging
import os

from skylarkpost.eventlog.keyvalue import format_event

__all__ = ["BoundedHandler", "LineRateLimiter"]

# A busy instance logs some hundred decisions a second; a fault that logs in a
# loop must not take CPU time from requests.
LINES_PER_S = 600.0
BURST_LINES = 3000.0
STDOUT = 1


class LineRateLimiter:
    """Token bucket for log lines.

    Parameters
    ----------
    rate : float
        Sustained lines a second.
    burst : float
        Most lines at once.

    Examples
    --------
    >>> limiter = LineRateLimiter(rate=1.0, burst=2.0)
    >>> [limiter.try_acquire(now=0.0) for _ in range(3)], limiter.try_acquire(now=1.0)
    ([True, True, False], True)
    """

    def __init__(self, *, rate=LINES_PER_S, burst=BURST_LINES):
        self.rate = rate
        self.burst = burst
        self.available = burst
        self.updated_at = None

    def try_acquire(self, *, now):
        """Consume one token if there is one.

        Parameters
        ----------
        now : float
            The present time, in seconds; it may jump in either direction.

        Returns
        -------
        bool
            Whether a line may be written.
        """
        if self.updated_at is not None:
            elapsed = max(0.0, now - self.updated_at)
            self.available = min(self.burst, self.available + elapsed * self.rate)
        self.updated_at = now
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor; drops and counts those it cannot write.

    Warnings and errors are not rate-limited.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    rate_limiter : LineRateLimiter or None
        Limits records below WARNING; None for the default limits.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last ``lines-dropped`` event.
    """

    def __init__(self, *, descriptor=STDOUT, rate_limiter=None):
        super().__init__()
        self.descriptor = descriptor
        self.rate_limiter = rate_limiter or LineRateLimiter()
        self.dropped = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write one record. See `logging.Handler`."""
        within_rate = self.rate_limiter.try_acquire(now=record.created)
        if not within_rate and record.levelno < logging.WARNING:
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
            if self._unwritten:
                # Complete a partially written line first.
                written = os.write(self.descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
                if self._unwritten:
                    return False
            line = (self.format(record) + "\n").encode("utf-8", "replace")
            written = os.write(self.descriptor, line)
            self._unwritten = line[written:]
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone, and there is no other place to report it.
            return False
        return True
