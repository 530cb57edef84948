"""Stand-in for the platform's rate-limited weight store.

Run it with ``python -m standins.weights --port 7003``.
"""

import asyncio
import time

from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import StandIn, Switches, main

__all__ = ["WeightStoreStandIn", "WeightStoreSwitches", "load_duration"]

LOAD_TIME_S = 0.25
FULL_SPEED_LOADS = 8
LOADS_PER_S = 3.0


class WeightStoreSwitches(Switches, kw_only=True):
    """Faults of the weight store.

    Parameters
    ----------
    broken : list of str
        Adapters, or adapter versions as ``A@V``, whose loads fail.
    unavailable : bool
        Answer 503 to everything.
    loads_per_second : float
        Maximum rate at which loads start.
    load_time : float
        Duration of one load at full speed, in seconds.
    """

    broken: list[str] = []
    unavailable: bool = False
    loads_per_second: float = LOADS_PER_S
    load_time: float = LOAD_TIME_S


def load_duration(load_time, in_transit):
    """Return the duration of one load.

    Parameters
    ----------
    load_time : float
        Duration at full speed, in seconds.
    in_transit : int
        Loads requested and not yet delivered, including this one.

    Returns
    -------
    float
        Seconds.
    """
    return load_time * max(1.0, in_transit / FULL_SPEED_LOADS)


class WeightStoreStandIn(StandIn):
    """Weight store with limited rate and bandwidth.

    Attributes
    ----------
    in_transit : int
        Loads requested and not yet delivered.
    delivered, failed : int
        Loads that have succeeded and failed so far.
    most_in_transit : int
        Peak of `in_transit`.
    """

    switches_type = WeightStoreSwitches

    def __init__(self):
        super().__init__()
        self.next_start = 0.0
        self.in_transit = 0
        self.delivered = 0
        self.failed = 0
        self.most_in_transit = 0

    def routes(self):
        """Return the routes of the store."""
        return [
            Route("/weights/{adapter}/{version}", self.get_weights),
            Route("/counts", self.get_counts),
        ]

    async def get_weights(self, request):
        """Deliver one adapter's weights."""
        if self.switches.unavailable:
            return JSONResponse({"error": "unavailable"}, status_code=503)
        adapter = request.path_params["adapter"]
        name = f"{adapter}@{request.path_params['version']}"
        self.in_transit += 1
        self.most_in_transit = max(self.most_in_transit, self.in_transit)
        try:
            await self.wait_for_rate_limit()
            await asyncio.sleep(load_duration(self.switches.load_time, self.in_transit))
        finally:
            self.in_transit -= 1
        if {adapter, name} & set(self.switches.broken):
            self.failed += 1
            return JSONResponse({"error": f"{name} is broken"}, status_code=500)
        self.delivered += 1
        return JSONResponse({"name": name})

    async def wait_for_rate_limit(self):
        """Wait until the rate limit allows another load to start."""
        start = max(time.monotonic(), self.next_start)
        self.next_start = start + 1.0 / self.switches.loads_per_second
        await asyncio.sleep(start - time.monotonic())

    async def get_counts(self, request):
        """Return the load counters."""
        return JSONResponse(
            {
                "delivered": self.delivered,
                "failed": self.failed,
                "in_transit": self.in_transit,
                "most_in_transit": self.most_in_transit,
            }
        )


if __name__ == "__main__":
    main(
        lambda arguments: WeightStoreStandIn(),
        description="Stand-in for the platform's rate-limited weight store.",
    )
