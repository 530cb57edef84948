"""Stand-in for the platform's lagging list of instances.

Run it with ``python -m standins.instances --port 7002``.
"""

import time
from typing import NamedTuple

from starlette.responses import JSONResponse
from starlette.routing import Route

from standins.common import StandIn, Switches, main

__all__ = ["InstanceListStandIn", "InstanceListSwitches"]

MAX_VERSIONS = 1000


class InstanceListSwitches(Switches, kw_only=True):
    """Faults of the list.

    Parameters
    ----------
    lag : float
        Seconds by which the list is behind.
    frozen : bool
        Keep showing the list of the moment when this was switched on.
    absent : bool
        Answer 503.
    """

    lag: float = 0.0
    frozen: bool = False
    absent: bool = False


class Version(NamedTuple):
    """The list from some moment on, in seconds of the wall clock."""

    since: float
    instances: tuple


class InstanceListStandIn(StandIn):
    """Keeps the list that ``PUT /instances`` gave, and its past versions."""

    switches_type = InstanceListSwitches

    def __init__(self):
        super().__init__()
        self.versions = [Version(0.0, ())]
        self.frozen_at = None

    def routes(self):
        """Return the routes of the list."""
        return [
            Route("/instances", self.get_instances, methods=["GET"]),
            Route("/instances", self.put_instances, methods=["PUT"]),
        ]

    def on_switches_changed(self):
        """Note the moment at which the list was frozen."""
        if not self.switches.frozen:
            self.frozen_at = None
        elif self.frozen_at is None:
            self.frozen_at = time.time()

    async def put_instances(self, request):
        """Set the whole list."""
        content = await request.json()
        self.versions.append(Version(time.time(), tuple(content["instances"])))
        del self.versions[:-MAX_VERSIONS]
        return JSONResponse({})

    async def get_instances(self, request):
        """Show the list as of some time ago."""
        if self.switches.absent:
            return JSONResponse({"error": "the list is absent"}, status_code=503)
        shown_at = (self.frozen_at or time.time()) - self.switches.lag
        shown = [v for v in self.versions if v.since <= shown_at][-1:]
        instances = shown[0].instances if shown else ()
        return JSONResponse({"as_of": shown_at, "instances": list(instances)})


if __name__ == "__main__":
    main(
        lambda arguments: InstanceListStandIn(),
        description="Stand-in for the platform's list of instances.",
    )
