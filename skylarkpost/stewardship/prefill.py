"""Estimates the prefill time queued on an engine before a new prompt.

Matters for many concurrent long prompts, some of which share a prefix. An
engine prefills prompts one after the other, the most urgent first, and skips
prefixes that are in its prefix cache.
"""

from collections import OrderedDict
from typing import NamedTuple

__all__ = ["PROMPT_CACHE_FRACTION", "Preamble", "PreambleCache", "PrefillBacklog"]

# Part of an engine's KV cache that holds prompts beside running requests.
PROMPT_CACHE_FRACTION = 0.7


class Preamble(NamedTuple):
    """A prompt prefix, which may be in the prefix cache of an engine.

    Attributes
    ----------
    key : int
        Hash of the adapter and the text; equal on all instances.
    tokens : float
        Its length, in tokens.
    """

    key: int
    tokens: float


class PreambleCache:
    """Estimated content of the prefix cache of an engine.

    Parameters
    ----------
    capacity : float
        Size in tokens; the least recently used prefixes are evicted first.
    """

    def __init__(self, *, capacity):
        self.capacity = capacity
        self.entries = OrderedDict()
        self.tokens = 0.0

    def uncached_tokens(self, preambles, prompt_tokens):
        """Return the part of a prompt that has to be prefilled.

        Parameters
        ----------
        preambles : tuple of Preamble
            Prefixes of the prompt, the shortest first.
        prompt_tokens : float
            Length of the prompt, in tokens.

        Returns
        -------
        float
            Tokens.
        """
        for preamble in reversed(preambles):
            if preamble.key in self.entries:
                return max(0.0, prompt_tokens - preamble.tokens)
        return prompt_tokens

    def note_prompt(self, preambles):
        """Record that an engine prefills a prompt.

        Parameters
        ----------
        preambles : tuple of Preamble
            Prefixes of the prompt, the shortest first.
        """
        before = 0.0
        for preamble in preambles:
            if preamble.key in self.entries:
                self.entries.move_to_end(preamble.key)
            else:
                self.entries[preamble.key] = preamble.tokens - before
                self.tokens += preamble.tokens - before
            before = preamble.tokens
        while self.tokens > self.capacity and self.entries:
            _, dropped = self.entries.popitem(last=False)
            self.tokens -= dropped

    def clear(self):
        """Drop everything, since the engine has restarted."""
        self.entries.clear()
        self.tokens = 0.0


class PrefillBacklog:
    """Seconds of prefill queued on an engine, by urgency.

    Parameters
    ----------
    now : float
        Current time, in seconds.

    Examples
    --------
    >>> backlog = PrefillBacklog(now=0.0)
    >>> backlog.add(0.5, urgency=8, now=0.0)
    >>> backlog.add(0.25, urgency=9, now=0.0)
    >>> backlog.ahead(9, now=0.0), backlog.ahead(8, now=0.0)
    (0.25, 0.75)
    >>> backlog.ahead(9, now=0.5), backlog.ahead(8, now=0.5)
    (0.0, 0.25)
    """

    def __init__(self, *, now):
        self.seconds = {}
        self.updated_at = now

    def add(self, seconds, *, urgency, now):
        """Record a prompt that was sent to the engine.

        Parameters
        ----------
        seconds : float
            Time to prefill it.
        urgency : int
            Its urgency.
        now : float
            Current time, in seconds.
        """
        self._advance(now)
        self.seconds[urgency] = self.seconds.get(urgency, 0.0) + seconds

    def ahead(self, urgency, *, now):
        """Return the prefill time queued before a prompt that is sent now.

        Parameters
        ----------
        urgency : int
            Its urgency.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        self._advance(now)
        return sum(left for at, left in self.seconds.items() if at >= urgency)

    def clear(self):
        """Drop everything, since the engine has restarted."""
        self.seconds.clear()

    def _advance(self, now):
        passed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        for urgency in sorted(self.seconds, reverse=True):
            done = min(self.seconds[urgency], passed)
            passed -= done
            self.seconds[urgency] -= done
            if self.seconds[urgency] <= 0.0:
                del self.seconds[urgency]
