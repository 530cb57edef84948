"""Where stewards get permits to load from the weight store."""

import asyncio

from skylarkpost.stewardship.permits import LocalLoadPermits

__all__ = ["LoadPermit", "PermitSource"]

LOADS_PER_SECOND = 3.0
BURST = 2.0
IN_TRANSIT = 8
ACQUIRE_TIMEOUT_S = 5.0


class LoadPermit:
    """Leave for one load; given back when the load has ended.

    Parameters
    ----------
    give_back : callable
        ``give_back(unused=)``.
    """

    def __init__(self, *, give_back):
        self.give_back = give_back
        self.released = False

    def release(self, *, unused=False):
        """Give the permit back, once.

        Parameters
        ----------
        unused : bool
            Whether nothing was loaded.
        """
        if not self.released:
            self.released = True
            self.give_back(unused=unused)


class PermitSource:
    """Asks the controller of limits, or a local bucket where there is none.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        What the instance shares between its parts.
    share : float
        Part of the weight store's rate that the local bucket gives out.
    """

    def __init__(self, *, services, share):
        self.services = services
        self.local = LocalLoadPermits(
            rate=LOADS_PER_SECOND * share,
            burst=BURST,
            in_transit=max(1, int(IN_TRANSIT * share)),
            now=services.clock(),
        )

    async def acquire(self, *, urgency, waiting):
        """Get a permit.

        Parameters
        ----------
        urgency : int
            Of the most urgent request that waits for a load.
        waiting : int
            Adapters that are waited for.

        Returns
        -------
        LoadPermit or None
            None if there was none within a few seconds.
        """
        limits = self.services.controllers.get("limits")
        acquire = getattr(limits, "acquire_load_permit", None)
        if acquire is not None:
            return await acquire(urgency=urgency, waiting=waiting)
        return await self._acquire_local()

    async def _acquire_local(self):
        clock = self.services.clock
        deadline = clock() + ACQUIRE_TIMEOUT_S
        while True:
            wait = self.local.acquire(clock())
            if not wait:
                return LoadPermit(give_back=self.local.release)
            if clock() + wait > deadline:
                return None
            await asyncio.sleep(wait)
