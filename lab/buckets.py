"""A plain token bucket, for the baseline and for checking every system."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """A bucket that fills at a rate up to a burst.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Most tokens that it holds; it starts full.

    Attributes
    ----------
    level : float
        Tokens in it at the time of the last call.
    """

    def __init__(self, *, rate, burst):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self._filled_at = 0.0

    def level_at(self, now):
        """Return the tokens in it.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float
        """
        gained = (now - self._filled_at) * self.rate
        self.level = min(self.burst, self.level + gained)
        self._filled_at = now
        return self.level

    def charge(self, tokens, *, now):
        """Take tokens out, below zero if need be."""
        self.level_at(now)
        self.level -= tokens

    def refund(self, tokens, *, now):
        """Put tokens back, up to the burst."""
        self.level_at(now)
        self.level = min(self.burst, self.level + tokens)
