"""Simulation of the platform's weight store."""

import collections

__all__ = ["WeightStore"]

LOADS_PER_S = 3.0
TRANSIT_S = 0.25
FULL_SPEED_TRANSITS = 8


class WeightStore:
    """Transfers adapters to engines with a limited rate and concurrency.

    Loads start at `LOADS_PER_S`, with a burst of `FULL_SPEED_TRANSITS`; further
    loads queue in order of arrival. A transfer takes `TRANSIT_S` while at most
    `FULL_SPEED_TRANSITS` loads are in transfer or queued, and proportionally
    longer above that.

    Parameters
    ----------
    scheduler : lab.scheduler.Scheduler
        Scheduler of virtual time.

    Attributes
    ----------
    loads : int
        Number of loads started.
    """

    def __init__(self, *, scheduler):
        self.scheduler = scheduler
        self.loads = 0
        self._tokens = float(FULL_SPEED_TRANSITS)
        self._refilled_at = scheduler.now
        self._waiting = collections.deque()
        self._in_transit = 0
        self._timer_set = False

    def fetch(self, done):
        """Request one adapter.

        Parameters
        ----------
        done : callable
            Called without arguments when the adapter has arrived.
        """
        self._waiting.append(done)
        self._start_loads()

    def _refill(self):
        now = self.scheduler.now
        gained = (now - self._refilled_at) * LOADS_PER_S
        self._tokens = min(float(FULL_SPEED_TRANSITS), self._tokens + gained)
        self._refilled_at = now

    def _start_loads(self):
        self._refill()
        while self._waiting and self._tokens >= 1 - 1e-9:
            self._tokens -= 1
            self._start(self._waiting.popleft())
        if self._waiting and not self._timer_set:
            self._timer_set = True
            wait = (1 - self._tokens) / LOADS_PER_S
            self.scheduler.call_later(wait, self._timer_fired)

    def _timer_fired(self):
        self._timer_set = False
        self._start_loads()

    def _start(self, done):
        self.loads += 1
        self._in_transit += 1
        outstanding = self._in_transit + len(self._waiting)
        slowdown = max(1.0, outstanding / FULL_SPEED_TRANSITS)
        self.scheduler.call_later(TRANSIT_S * slowdown, self._arrive, done)

    def _arrive(self, done):
        self._in_transit -= 1
        done()
