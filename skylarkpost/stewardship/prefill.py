"""How long an engine will read prompts before it comes to a new one.

Load pattern: many long prompts at once, some of which begin alike. An engine
reads prompts one after the other, the most urgent first, and does not read
again what it has kept.
"""

from collections import OrderedDict
from typing import NamedTuple

__all__ = ["Preamble", "PreambleCache", "PrefillBacklog"]


class Preamble(NamedTuple):
    """The beginning of a prompt, which an engine may have read before.

    Attributes
    ----------
    key : int
        Hash of the adapter and the text; the same on all instances.
    tokens : float
        Its length.
    """

    key: int
    tokens: float


class PreambleCache:
    """Beginnings of prompts that an engine is taken to keep.

    Parameters
    ----------
    capacity : float
        Tokens that it keeps; the least recently used go first.
    """

    def __init__(self, *, capacity):
        self.capacity = capacity
        self.entries = OrderedDict()
        self.tokens = 0.0

    def uncached_tokens(self, preambles, prompt_tokens):
        """Return how much of a prompt has to be read.

        Parameters
        ----------
        preambles : tuple of Preamble
            Beginnings of the prompt, the shortest first.
        prompt_tokens : float
            Length of the prompt.

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
        """Note that an engine reads a prompt.

        Parameters
        ----------
        preambles : tuple of Preamble
            Beginnings of the prompt, the shortest first.
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
        """Forget everything, since the engine has restarted."""
        self.entries.clear()
        self.tokens = 0.0


class PrefillBacklog:
    """Seconds of reading before an engine, by urgency.

    Parameters
    ----------
    now : float
        The present time, in seconds.

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
        """Note that a prompt was sent.

        Parameters
        ----------
        seconds : float
            Time to read it.
        urgency : int
            Its urgency.
        now : float
            The present time, in seconds.
        """
        self._advance(now)
        self.seconds[urgency] = self.seconds.get(urgency, 0.0) + seconds

    def ahead(self, urgency, *, now):
        """Return what is read before a prompt that comes now.

        Parameters
        ----------
        urgency : int
            Its urgency.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Seconds.
        """
        self._advance(now)
        return sum(left for at, left in self.seconds.items() if at >= urgency)

    def clear(self):
        """Forget everything, since the engine has restarted."""
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
