"""Permits to load from the weight store, where nobody else shares it."""

__all__ = ["LocalLoadPermits"]


class LocalLoadPermits:
    """Token bucket of load permits, with a bound on loads in transit.

    Parameters
    ----------
    rate : float
        Permits a second.
    burst : float
        Permits that may be saved up.
    in_transit : int
        Most loads in progress at once.
    now : float
        The present time, in seconds.
    """

    def __init__(self, *, rate, burst, in_transit, now):
        self.rate = rate
        self.burst = burst
        self.in_transit = in_transit
        self.balance = burst
        self.used = 0
        self._at = now

    def acquire(self, now):
        """Take a permit.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            0 if the permit was given, else seconds after which to ask again.
        """
        self.balance = min(self.burst, self.balance + (now - self._at) * self.rate)
        self._at = now
        if self.used >= self.in_transit:
            return 1.0 / self.rate
        if self.balance < 1.0:
            return (1.0 - self.balance) / self.rate
        self.balance -= 1.0
        self.used += 1
        return 0.0

    def release(self, *, unused=False):
        """Give a permit back after its load has ended.

        Parameters
        ----------
        unused : bool
            Whether nothing was loaded, so that another may load at once.
        """
        assert self.used > 0
        self.used -= 1
        if unused:
            self.balance = min(self.burst, self.balance + 1.0)
