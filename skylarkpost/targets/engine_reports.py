"""Queries to engines: load, cache events, health."""

from skylarkpost.decoding import Malformed
from skylarkpost.targets.calls import perform
from skylarkpost.targets.engine_calls import STATUS_OK, EngineCalls
from skylarkpost.targets.outcomes import MayHaveRun, NotRun, TargetUnavailable
from skylarkpost.targets.reports import (
    decode_cache_events,
    decode_health,
    decode_load,
)

__all__ = ["EngineReports"]


class EngineReports(EngineCalls):
    """Sends queries without side effects; see `EngineCalls`.

    Queries use kept-alive connections until one of them stops responding.
    """

    async def load_report(self, address):
        """Query the load of an engine.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.

        Returns
        -------
        LoadReport or TargetUnavailable
        """
        return await self._query(address, "/load", decode_load)

    async def cache_events(self, address, *, after):
        """Query the changes of an engine's prefix cache.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        after : int
            ``next`` of the previous answer; 0 for a new boot.

        Returns
        -------
        CacheEvents or TargetUnavailable
        """
        return await self._query(address, f"/events?after={after}", decode_cache_events)

    async def health(self, address):
        """Query the boot id and uptime of an engine on a new connection.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.

        Returns
        -------
        TargetHealth or TargetUnavailable
        """
        return await self._query(address, "/health", decode_health, fresh=True)

    async def _query(self, address, path, decode, *, fresh=False):
        requested_at = self.clock()
        if fresh:
            session = self.sessions.fresh()
        else:
            session = self.sessions.select(address, now=requested_at)
        call = self.build_call("GET", address, path, {}, None)
        outcome = await perform(session, call)
        answered_at = self.clock()
        match outcome:
            case MayHaveRun(detail=detail):
                self.sessions.note_silence(address, now=answered_at)
                return TargetUnavailable(detail=detail)
            case NotRun(detail=detail):
                return TargetUnavailable(detail=detail)
        if outcome.status != STATUS_OK:
            return TargetUnavailable(detail=f"status {outcome.status}")
        decoded = decode(
            outcome.body, requested_at=requested_at, answered_at=answered_at
        )
        if isinstance(decoded, Malformed):
            return TargetUnavailable(detail=f"answer not understood: {decoded.detail}")
        return decoded
