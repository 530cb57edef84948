"""Stand-in for the platform's eventually consistent list of instances.

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
    """Faults of the instance list.

    Parameters
    ----------
    lag : float
        Staleness of the list, in seconds.
    frozen : bool
        Keep returning the list as of when this switch was set.
    absent : bool
        Answer 503.
    """

    lag: float = 0.0
    frozen: bool = False
    absent: bool = False


class Version(NamedTuple):
    """A version of the list, valid from `since` in Unix seconds."""

    since: float
    instances: tuple


class InstanceListStandIn(StandIn):
    """Stores the list set by ``PUT /instances`` and its earlier versions."""

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
        """Record the time at which the list was frozen."""
        if not self.switches.frozen:
            self.frozen_at = None
        elif self.frozen_at is None:
            self.frozen_at = time.time()

    async def put_instances(self, request):
        """Replace the list."""
        content = await request.json()
        self.versions.append(Version(time.time(), tuple(content["instances"])))
        del self.versions[:-MAX_VERSIONS]
        return JSONResponse({})

    async def get_instances(self, request):
        """Return the list as of `lag` seconds ago."""
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
