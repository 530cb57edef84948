"""Paces the tickets of a target that accepts a limited number of requests a second.

Load pattern: most engines of a pool name a limit below what they usually get, and the
others cannot take all of the rest, since streams hold their adapter slots.
"""

import math

from skylarkpost.limits.demand_share import SlidingWindow

__all__ = ["WARM_UP_WINDOW_S", "RequestPace"]

# An earlier steward may have granted a whole window's requests just before.
INITIAL_FILL = 1.0
# Span over which a target that warms up counts its requests.
WARM_UP_WINDOW_S = 1.0


class RequestPace:
    """Grants a bounded number of requests in each window.

    Parameters
    ----------
    window : float
        Span over which the target counts its requests, in seconds.

    Attributes
    ----------
    limit : float or None
        Requests a second; None without a limit.
    allowed : float
        Requests in a window that may be granted.

    Examples
    --------
    >>> pace = RequestPace(window=4.0)
    >>> pace.free(0.0)
    inf
    >>> pace.set_limit(2.0, allowed=12.0, now=0.0)
    >>> pace.free(0.0), pace.free(2.0), pace.free(4.0)
    (0, 6, 12)
    """

    def __init__(self, *, window):
        self.window = window
        self.limit = None
        self.allowed = math.inf
        self._granted = None

    @property
    def interval(self):
        """Seconds between two requests on average; 0 without a limit."""
        if self.limit is None:
            return 0.0
        return self.window / max(1.0, self.allowed)

    def set_limit(self, limit, *, allowed, now):
        """Set the limit.

        Parameters
        ----------
        limit : float or None
            Requests a second; None for no limit.
        allowed : float
            Requests in a window that may be granted; ignored without a limit.
        now : float
            The present time, in seconds.
        """
        if limit is not None and self.limit is None:
            self._granted = SlidingWindow(length=self.window)
            self._granted.assume(INITIAL_FILL, now)
        self.limit, self.allowed = limit, allowed

    def free(self, now):
        """Return how many requests may be granted now.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        int or float
            Infinite without a limit.
        """
        if self.limit is None:
            return math.inf
        used = self._granted.admitted(now) + self._granted.assumed(self.allowed, now)
        return max(0, math.floor(self.allowed - used))

    def take(self, now):
        """Charge one request.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        if self.limit is not None:
            self._granted.charge(1.0, allowed=max(1.0, self.allowed), now=now)
