"""Learns how fast the engines of a service prefill prompts."""

import math

__all__ = ["PrefillRate"]

# Between the rates of small and of large engines; a few requests correct it.
INITIAL_RATE = 20_000.0
MIN_RATE = 500.0
MAX_RATE = 2_000_000.0
# Shorter prompts take about as long as the decoding steps around them.
MIN_TOKENS = 1_000.0
# Part of the observations that show a lower rate: they include waits for requests
# of other instances, which this one does not know of.
SLOWER_FRACTION = 0.7
# Relative change by one observation, at first and once many were made.
FIRST_STEP = 0.5
LAST_STEP = 0.04
STEP_DECAY = 0.9


class PrefillRate:
    """Quantile of the prefill rates that first tokens show.

    Load pattern: long prompts on engines whose speed nobody states, and which differ
    by a factor of ten between deployments.

    Attributes
    ----------
    tokens_per_s : float
        Prompt tokens that an engine prefills per second.

    Examples
    --------
    >>> rate = PrefillRate()
    >>> for _ in range(60):
    ...     rate.note_first_token(8_000.0, 0.2)
    >>> 36_000 < rate.tokens_per_s < 44_000
    True
    """

    def __init__(self):
        self.tokens_per_s = INITIAL_RATE
        self.step = FIRST_STEP

    def note_first_token(self, tokens, seconds):
        """Record the time from sending a request to its first token.

        Parameters
        ----------
        tokens : float
            Tokens that had to be prefilled, including those of earlier requests.
        seconds : float
            Time to the first token.
        """
        if tokens < MIN_TOKENS or seconds <= 0.0:
            return
        is_slower = tokens / seconds < self.tokens_per_s
        change = -(1.0 - SLOWER_FRACTION) if is_slower else SLOWER_FRACTION
        rate = self.tokens_per_s * math.exp(self.step * change)
        self.tokens_per_s = min(MAX_RATE, max(MIN_RATE, rate))
        self.step = max(LAST_STEP, self.step * STEP_DECAY)
