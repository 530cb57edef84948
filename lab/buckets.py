"""A plain token bucket, for the baseline and for checking every system."""

import collections

__all__ = ["Charge", "TokenBucket"]


class Charge:
    """One charge, whose tokens may be lowered once.

    Attributes
    ----------
    at : float
        When it was made, in seconds.
    tokens : float
        What it takes.
    is_final : bool
        Whether its tokens stay as they are.
    """

    __slots__ = ("at", "is_final", "tokens")

    def __init__(self, at, tokens):
        self.at = at
        self.tokens = tokens
        self.is_final = False


class TokenBucket:
    """A bucket that fills at a rate up to a burst; it starts full.

    A refund counts as if the charge had been smaller from the start: the level
    is worked out anew from the oldest charge that is not final yet.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Most tokens that it holds.
    """

    def __init__(self, *, rate, burst):
        self.rate = rate
        self.burst = burst
        self._base_at = 0.0
        self._base_level = burst
        self._charges = collections.deque()

    def level_at(self, now):
        """Return the tokens in it.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Below zero after charges that it did not hold.
        """
        self._fold_final()
        at, level = self._base_at, self._base_level
        for charge in self._charges:
            level = self._fill(level, charge.at - at) - charge.tokens
            at = charge.at
        return self._fill(level, now - at)

    def charge(self, tokens, *, now):
        """Take tokens out, below zero if need be.

        Parameters
        ----------
        tokens : float
            How many.
        now : float
            The present time, in seconds.

        Returns
        -------
        Charge
            For `settle`.
        """
        charge = Charge(now, tokens)
        self._charges.append(charge)
        return charge

    def settle(self, charge, *, unused):
        """Give back what a charge did not use, and make it final.

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
        """Take out all that is in it."""
        self.settle(self.charge(self.level_at(now), now=now), unused=0.0)

    def _fill(self, level, elapsed):
        return min(self.burst, level + elapsed * self.rate)

    def _fold_final(self):
        while self._charges and self._charges[0].is_final:
            charge = self._charges.popleft()
            level = self._fill(self._base_level, charge.at - self._base_at)
            self._base_level = level - charge.tokens
            self._base_at = charge.at
