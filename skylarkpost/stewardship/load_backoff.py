"""Backoff between attempts to load an adapter that fails to load."""

__all__ = ["LoadBackoff"]

MAX_ADAPTERS = 4096


class LoadBackoff:
    """Capped exponential backoff by name.

    Parameters
    ----------
    initial, maximum : float
        Shortest and longest pause, in seconds.
    """

    def __init__(self, *, initial, maximum):
        self.initial = initial
        self.maximum = maximum
        self.failures = {}
        self.retry_at = {}

    def failed(self, name, now):
        """Record a failure.

        Parameters
        ----------
        name : str
            What failed.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Time of the next permitted attempt, in seconds.
        """
        count = min(self.failures.pop(name, 0) + 1, 32)
        self.failures[name] = count
        pause = min(self.maximum, self.initial * 2.0 ** (count - 1))
        self.retry_at[name] = max(now + pause, self.retry_at.get(name, now))
        if len(self.failures) > MAX_ADAPTERS:
            self._forget(next(iter(self.failures)))
        return self.retry_at[name]

    def succeeded(self, name):
        """Record a success.

        Parameters
        ----------
        name : str
            What succeeded.
        """
        self._forget(name)

    def remaining(self, name, now):
        """Return the remaining pause of a name.

        Parameters
        ----------
        name : str
            The name.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Seconds; 0 if it may be tried now.
        """
        return max(0.0, self.retry_at.get(name, now) - now)

    def prune(self, now):
        """Drop names whose pause ended more than two maximum pauses ago.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        for name, retry_at in list(self.retry_at.items()):
            if retry_at + 2 * self.maximum < now:
                self._forget(name)

    def _forget(self, name):
        self.failures.pop(name, None)
        self.retry_at.pop(name, None)
