"""Pauses that targets ask for when they turn a request away."""

import datetime
import email.utils
import logging
import math
import re

from skylarkpost.eventlog import log_event

__all__ = ["MAX_PAUSE_S", "TargetPauses", "parse_pause"]

logger = logging.getLogger(__name__)

# A longer pause ends here: one more request shows whether it was meant.
MAX_PAUSE_S = 300.0
MAX_PAUSED = 4096
# Characters of a malformed value in the log.
MAX_LOGGED_VALUE = 40
SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def parse_pause(text, wall_now):
    """Return the seconds that a ``Retry-After`` value names.

    Parameters
    ----------
    text : str
        Seconds, also with a fraction, or a date of HTTP (RFC 9110, 10.2.3).
    wall_now : float
        The present time of day, in seconds since the Unix epoch.

    Returns
    -------
    float or None
        At most `MAX_PAUSE_S`, and 0 for a date that has passed; None if the value is
        neither a number nor a date.

    Examples
    --------
    >>> parse_pause("1.5", 0.0), parse_pause("Thu, 01 Jan 1970 00:00:09 GMT", 2.0)
    (1.5, 7.0)
    >>> parse_pause("-1", 0.0) is None
    True
    """
    text = text.strip()
    if SECONDS.fullmatch(text):
        return min(MAX_PAUSE_S, float(text))
    try:
        date = email.utils.parsedate_to_datetime(text)
        if date.tzinfo is None:
            date = date.replace(tzinfo=datetime.UTC)
        seconds = date.timestamp() - wall_now
    except (ValueError, TypeError, OverflowError):
        return None
    return min(MAX_PAUSE_S, max(0.0, seconds))


class TargetPauses:
    """Until when each target wants nothing from this instance.

    Attributes
    ----------
    until : dict of str to float
        End of each pause, in seconds, by boot of the target.
    """

    def __init__(self):
        self.until = {}

    def note_refusal(self, boot, text, now, *, wall_now):
        """Record a refusal that names a time.

        Parameters
        ----------
        boot : str
            Boot of the target.
        text : str
            The value as received.
        now : float
            The present time, in seconds.
        wall_now : float
            The present time of day, in seconds since the Unix epoch.

        Returns
        -------
        float or None
            Seconds of the pause; None if the value asks for none.
        """
        seconds = parse_pause(text, wall_now)
        if seconds is None or seconds >= MAX_PAUSE_S:
            log_event(
                logger,
                "target-pause-odd",
                level=logging.WARNING,
                boot=boot,
                value=text[:MAX_LOGGED_VALUE],
                taken_as=seconds,
            )
        if not seconds:
            return None
        self.until[boot] = max(self.until.get(boot, -math.inf), now + seconds)
        self._bound(now)
        return seconds

    def left(self, boot, now):
        """Return how long a target wants nothing yet.

        Parameters
        ----------
        boot : str
            Boot of the target.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Seconds; 0 if it takes requests.
        """
        if not self.until:
            return 0.0
        return max(0.0, self.until.get(boot, now) - now)

    def _bound(self, now):
        if len(self.until) <= MAX_PAUSED:
            return
        self.until = {boot: end for boot, end in self.until.items() if end > now}
        while len(self.until) > MAX_PAUSED:
            boot = min(self.until, key=self.until.get)
            del self.until[boot]
            log_event(logger, "target-pause-forgotten", boot=boot)
