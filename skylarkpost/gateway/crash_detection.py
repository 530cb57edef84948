"""Tells crashes of targets from broken connections."""

import asyncio
from typing import NamedTuple

from skylarkpost.transport import ConnectFailed, PoolExhausted

__all__ = ["CrashDetector", "LostRequest"]

# A crash breaks all connections at once; they are noticed within this time.
SETTLE_S = 0.005
# The directory shows a restart within some heartbeats of the target.
UNDECIDED_LIFE_S = 15.0


class LostRequest(NamedTuple):
    """A request whose connection broke before its answer had ended.

    Attributes
    ----------
    traits : frozenset of str
        What a crash is attributed to.
    sent_at : float
        When it was sent, in seconds.
    """

    traits: frozenset
    sent_at: float


class _LostRequests:
    def __init__(self, ticket, service, now):
        self.ticket = ticket
        self.service = service
        self.lost_at = now
        self.requests = []
        self.probe = None


class CrashDetector:
    """Decides whether a target crashed when connections to it broke.

    A target that refuses a new connection has crashed. If none can be tried, as in a
    network partition, the directory decides: the target comes back with another boot.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.
    on_crash : callable
        Takes the target's boot, the list of `LostRequest` and the time of the crash.

    Attributes
    ----------
    lost : dict of str to _LostRequests
        Undecided requests, by boot of their target.
    """

    def __init__(self, *, services, on_crash):
        self.services = services
        self.on_crash = on_crash
        self.lost = {}

    def note_lost(self, ticket, service, request, now):
        """Record a request whose connection broke before its answer had ended.

        Parameters
        ----------
        ticket : Ticket
            The request's ticket.
        service : skylarkpost.routing.TargetService
            Its service.
        request : LostRequest
            The request.
        now : float
            The present time, in seconds.

        Returns
        -------
        asyncio.Task or None
            Ends when a probe of the target has ended; None if the target is leaving,
            so that it ends its connections by itself.
        """
        if not self._is_ready(ticket, now):
            return None
        known = self.lost.get(ticket.boot)
        if known is None:
            known = self.lost[ticket.boot] = _LostRequests(ticket, service, now)
        known.requests.append(request)
        if known.probe is None or known.probe.done():
            known.probe = asyncio.create_task(self._probe(known))
        return known.probe

    def check_directory(self, now):
        """Decide about targets that could not be probed.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        directory = self.services.controllers["directory"]
        for boot, known in list(self.lost.items()):
            if not known.probe.done():
                continue
            entry = directory.targets.entries.get(known.ticket.target)
            if entry is not None and entry.boot != boot:
                self._decide(known, has_crashed=True)
            elif now - known.lost_at >= UNDECIDED_LIFE_S:
                self._decide(known, has_crashed=False)

    async def stop(self):
        """Cancel all probes."""
        probes = [known.probe for known in self.lost.values()]
        for probe in probes:
            probe.cancel()
        if probes:
            await asyncio.wait(probes)

    def _is_ready(self, ticket, now):
        targets = self.services.controllers["directory"].targets
        entry = targets.find(ticket.target, now)
        return entry is not None or ticket.boot in self.lost

    async def _probe(self, known):
        await asyncio.sleep(SETTLE_S)
        ticket = known.ticket
        connection = await self.services.connect(ticket, known.service)
        if isinstance(connection, PoolExhausted):
            # Other connections to the target are open.
            self._decide(known, has_crashed=False)
        elif not isinstance(connection, ConnectFailed):
            self.services.pool.release_connection(ticket.boot, connection)
            self._decide(known, has_crashed=False)
        elif connection.is_refused:
            self._decide(known, has_crashed=True)

    def _decide(self, known, *, has_crashed):
        del self.lost[known.ticket.boot]
        if has_crashed:
            self.on_crash(known.ticket.boot, known.requests, known.lost_at)
