"""What a gateway instance that stops can still finish."""

from skylarkpost.filters import shutdown_refusal
from skylarkpost.outcomes import RunState

__all__ = ["GraceBudget", "refuse_unfinishable"]

# Gain of the smoothed mean, as in RFC 6298, section 2.
MEAN_GAIN = 0.125
MAX_ROUTES = 4096
# Part of the grace that a request of a route without earlier ones is given.
UNKNOWN_FRACTION = 0.5


class GraceBudget:
    """Decides until when requests of each route are passed on in a shutdown.

    Load pattern: a planned stop, while callers go on sending on open connections and
    requests wait for their target.

    Parameters
    ----------
    grace : float
        Seconds from the signal to stop until the process is killed.

    Attributes
    ----------
    stop_at : float or None
        When the last answer has to be sent, in seconds; None before a shutdown.
    durations : dict of str to float
        Smoothed duration of the requests of each route, in seconds.
    """

    def __init__(self, *, grace):
        self.grace = grace
        self.stop_at = None
        self.durations = {}

    def record(self, route, seconds):
        """Record how long a request took at its target.

        Parameters
        ----------
        route : str
            Name of the route.
        seconds : float
            From sending it until its answer was complete.
        """
        known = self.durations.get(route)
        if known is None:
            if len(self.durations) >= MAX_ROUTES:
                # Names of routes that are gone; a forgotten one is unknown again.
                del self.durations[next(iter(self.durations))]
            self.durations[route] = seconds
            return
        self.durations[route] = known + MEAN_GAIN * (seconds - known)

    def expected(self, route, timeout):
        """Return how long a request of a route is expected to take at its target.

        With room for the spread of durations, a roll of instances under load would
        refuse many requests that end in time.

        Parameters
        ----------
        route : str
            Name of the route.
        timeout : float
            The route's timeout, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        known = self.durations.get(route)
        if known is None:
            return min(timeout, UNKNOWN_FRACTION * self.grace)
        return min(timeout, known)

    def can_finish(self, route, timeout, now):
        """Return whether a request that is passed on now ends before the process.

        Parameters
        ----------
        route : str
            Name of the route.
        timeout : float
            The route's timeout, in seconds.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        if self.stop_at is None:
            return True
        return now + self.expected(route, timeout) <= self.stop_at


def refuse_unfinishable(exchanges, budget, now):
    """Refuse the waiting requests that could not be finished any more.

    Parameters
    ----------
    exchanges : iterable of GatewayExchange
        The open requests.
    budget : GraceBudget
        The time left.
    now : float
        The present time, in seconds.

    Returns
    -------
    int
        Number of requests refused.
    """
    count = 0
    for exchange in list(exchanges):
        route = exchange.route
        if route is None or exchange.dispatched or exchange.cancelled is not None:
            continue
        if not budget.can_finish(route.name, route.timeout, now):
            exchange.cancel(shutdown_refusal(RunState.NOT_RUN))
            count += 1
    return count
