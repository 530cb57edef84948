"""Prefix cache of the stand-in engine, with limited capacity."""

from collections import OrderedDict
from typing import NamedTuple

from standins.answers import BLOCK_CHARACTERS, CHARACTERS_PER_TOKEN

__all__ = ["CacheEvent", "PrefixCache"]

MAX_EVENTS = 10_000


class CacheEvent(NamedTuple):
    """A change of the cache; `at` is in seconds of the engine's clock."""

    n: int
    kind: str
    prefix: str
    at: float


class PrefixCache:
    """LRU cache of prompt blocks.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    """

    def __init__(self, *, capacity):
        self.capacity = capacity
        self.blocks = OrderedDict()
        self.events = []
        self.last_event = 0
        self.hits = 0
        self.looked_up_tokens = 0

    def look_up_and_insert(self, hashes, prompt_tokens, *, now):
        """Look up and insert a prompt; return how many of its tokens were cached."""
        cached = 0
        while cached < len(hashes) and hashes[cached] in self.blocks:
            cached += 1
        for prefix in hashes:
            self.insert(prefix, now=now)
        tokens = cached * BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
        self.hits += tokens
        self.looked_up_tokens += prompt_tokens
        return tokens

    def insert(self, prefix, *, now):
        """Insert a block; evict the least recently used one if over capacity."""
        if prefix not in self.blocks:
            self.record_event("cached", prefix, now)
        self.blocks[prefix] = None
        self.blocks.move_to_end(prefix)
        if len(self.blocks) > self.capacity:
            dropped, _ = self.blocks.popitem(last=False)
            self.record_event("dropped", dropped, now)

    def record_event(self, kind, prefix, now):
        """Record a cache event; drop the oldest beyond the limit."""
        self.last_event += 1
        self.events.append(CacheEvent(self.last_event, kind, prefix, now))
        del self.events[:-MAX_EVENTS]
