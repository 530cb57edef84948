"""Discrete-event scheduler with virtual time."""

import heapq
import itertools

__all__ = ["Scheduler"]


class Scheduler:
    """Runs callbacks in order of virtual time.

    Parameters
    ----------
    start : float
        Virtual time at the start, in seconds.

    Attributes
    ----------
    now : float
        Current virtual time, in seconds.
    """

    def __init__(self, *, start=0.0):
        self.now = start
        self._heap = []
        self._sequence = itertools.count()

    def call_at(self, at, callback, *args):
        """Run a callback at a given time, or immediately if that is in the past.

        Parameters
        ----------
        at : float
            Virtual time, in seconds.
        callback : callable
            Called with `args`.
        """
        entry = (max(at, self.now), next(self._sequence), callback, args)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay, callback, *args):
        """Run a callback after a delay.

        Parameters
        ----------
        delay : float
            Seconds from now.
        callback : callable
            Called with `args`.
        """
        self.call_at(self.now + delay, callback, *args)

    def run(self, *, until):
        """Run all events up to a given time.

        Parameters
        ----------
        until : float
            Virtual time, in seconds.
        """
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(heap)
            callback(*args)
        self.now = until
