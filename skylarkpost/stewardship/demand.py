"""Exponentially decayed demand for adapters."""

import math

__all__ = ["Demand"]


class Demand:
    """Exponentially decaying counts by name, for a bounded number of names.

    Parameters
    ----------
    half_life : float
        Half-life of a count, in seconds.
    limit : int
        Maximum number of names; those with the lowest demand are dropped.
    """

    def __init__(self, *, half_life, limit=4096):
        self.half_life = half_life
        self.limit = limit
        self.counts = {}

    def __len__(self):
        return len(self.counts)

    def add(self, name, *, now, amount=1.0):
        """Add to the demand for a name.

        Parameters
        ----------
        name : str
            The name.
        now : float
            Current time, in seconds.
        amount : float
            Amount to add.
        """
        self.counts[name] = (self.value(name, now) + amount, now)
        if len(self.counts) > self.limit:
            self._shrink(now)

    def value(self, name, now):
        """Return the demand for a name.

        Parameters
        ----------
        name : str
            The name.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            The decayed count.
        """
        count, at = self.counts.get(name, (0.0, now))
        return count * 0.5 ** (max(0.0, now - at) / self.half_life)

    def rate(self, name, now):
        """Return the recent request rate of a name.

        Parameters
        ----------
        name : str
            The name.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Requests per second.
        """
        return self.value(name, now) * math.log(2.0) / self.half_life

    def _shrink(self, now):
        by_demand = sorted(self.counts, key=lambda name: self.value(name, now))
        for name in by_demand[: self.limit // 4]:
            del self.counts[name]
