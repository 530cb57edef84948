"""Token bucket for the baseline and for checking the limits of all systems."""

import collections

__all__ = ["Charge", "TokenBucket"]


class Charge:
    """One charge; its tokens can be reduced once, by `TokenBucket.settle`.

    Attributes
    ----------
    at : float
        Time of the charge, in seconds.
    tokens : float
        Tokens charged.
    is_final : bool
        Whether the charge has been settled.
    """

    __slots__ = ("at", "is_final", "tokens")

    def __init__(self, at, tokens):
        self.at = at
        self.tokens = tokens
        self.is_final = False


class TokenBucket:
    """Token bucket with a rate and a burst; starts full.

    A refund acts as if the charge had been smaller from the start: the level is
    recomputed from the oldest charge that is not final.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Capacity, in tokens.
    """

    def __init__(self, *, rate, burst):
        self.rate = rate
        self.burst = burst
        self._base_at = 0.0
        self._base_level = burst
        self._charges = collections.deque()

    def level_at(self, now):
        """Return the number of available tokens.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Negative after charges beyond the available tokens.
        """
        self._fold_final()
        at, level = self._base_at, self._base_level
        for charge in self._charges:
            level = self._fill(level, charge.at - at) - charge.tokens
            at = charge.at
        return self._fill(level, now - at)

    def charge(self, tokens, *, now):
        """Charge tokens; the level may become negative.

        Parameters
        ----------
        tokens : float
            Tokens to charge.
        now : float
            Current time, in seconds.

        Returns
        -------
        Charge
            To be passed to `settle`.
        """
        charge = Charge(now, tokens)
        self._charges.append(charge)
        return charge

    def settle(self, charge, *, unused):
        """Refund the unused tokens of a charge and make it final.

        Parameters
        ----------
        charge : Charge
            From `charge`.
        unused : float
            Tokens that were not used.
        """
        charge.tokens -= unused
        charge.is_final = True

    def empty(self, now):
        """Remove all available tokens."""
        self.settle(self.charge(self.level_at(now), now=now), unused=0.0)

    def _fill(self, level, elapsed):
        return min(self.burst, level + elapsed * self.rate)

    def _fold_final(self):
        while self._charges and self._charges[0].is_final:
            charge = self._charges.popleft()
            level = self._fill(self._base_level, charge.at - self._base_at)
            self._base_level = level - charge.tokens
            self._base_at = charge.at
