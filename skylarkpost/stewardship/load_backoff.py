"""Failing loads: how long an adapter is left alone after each failure."""

__all__ = ["LoadBackoff"]

MAX_ADAPTERS = 4096


class LoadBackoff:
    """Exponential backoff by name, with a cap.

    Parameters
    ----------
    first, most : float
        Shortest and longest pause, in seconds.
    """

    def __init__(self, *, initial, maximum):
        self.initial = initial
        self.maximum = maximum
        self.failures = {}
        self.retry_at = {}

    def failed(self, name, now):
        """Note a failure.

        Parameters
        ----------
        name : str
            What failed.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            When it may be tried again, in seconds.
        """
        count = min(self.failures.pop(name, 0) + 1, 32)
        self.failures[name] = count
        pause = min(self.maximum, self.initial * 2.0 ** (count - 1))
        self.retry_at[name] = max(now + pause, self.retry_at.get(name, now))
        if len(self.failures) > MAX_ADAPTERS:
            self._forget(next(iter(self.failures)))
        return self.retry_at[name]

    def succeeded(self, name):
        """Note a success.

        Parameters
        ----------
        name : str
            What succeeded.
        """
        self._forget(name)

    def remaining(self, name, now):
        """Return how long a name is still left alone.

        Parameters
        ----------
        name : str
            The name.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Seconds; 0 if it may be tried now.
        """
        return max(0.0, self.retry_at.get(name, now) - now)

    def prune(self, now):
        """Drop pauses that ended long ago.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        for name, retry_at in list(self.retry_at.items()):
            if retry_at + 2 * self.maximum < now:
                self._forget(name)

    def _forget(self, name):
        self.failures.pop(name, None)
        self.retry_at.pop(name, None)
