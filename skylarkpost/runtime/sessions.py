"""HTTP sessions that avoid kept-alive connections after a timeout."""

import asyncio

import aiohttp

__all__ = ["HttpSessions"]

# Longer than the keep-alive timeout, so all suspect idle connections have closed.
NO_REUSE_S = 20.0
MAX_NO_REUSE_PEERS = 4096


class HttpSessions:
    """A pooled HTTP session and one that opens a new connection per request.

    A kept-alive connection can go silent for good while new ones work. After a
    timeout, requests to that peer use new connections until its idle ones have
    expired.

    Parameters
    ----------
    session_source : callable
        Returns the pooled `aiohttp.ClientSession`.
    socket_factory : callable or None
        Creates the sockets of new connections; see `aiohttp.TCPConnector`.
    """

    def __init__(self, *, session_source, socket_factory=None):
        self.session_source = session_source
        self.socket_factory = socket_factory
        self.no_reuse_until = {}
        self._fresh = None

    def select(self, address, *, now):
        """Return the pooled session, or `fresh` after a recent timeout of the peer.

        Parameters
        ----------
        address : str
            The peer, as given to `note_silence`.
        now : float
            The present time, in seconds.

        Returns
        -------
        aiohttp.ClientSession
        """
        until = self.no_reuse_until.get(address)
        if until is None:
            return self.session_source()
        if now < until:
            return self.fresh()
        del self.no_reuse_until[address]
        return self.session_source()

    def fresh(self):
        """Return a session that opens a new connection for each request.

        Returns
        -------
        aiohttp.ClientSession
        """
        if self._fresh is None or self._fresh.closed:
            connector = aiohttp.TCPConnector(
                limit=0,
                force_close=True,
                use_dns_cache=False,
                socket_factory=self.socket_factory,
            )
            self._fresh = aiohttp.ClientSession(
                connector=connector, timeout=aiohttp.ClientTimeout(total=None)
            )
        return self._fresh

    def note_silence(self, address, *, now):
        """Record a timeout: avoid kept-alive connections to the peer for a while.

        Parameters
        ----------
        address : str
            The peer.
        now : float
            The present time, in seconds.
        """
        if len(self.no_reuse_until) >= MAX_NO_REUSE_PEERS:
            self._prune(now)
        if len(self.no_reuse_until) < MAX_NO_REUSE_PEERS:
            self.no_reuse_until[address] = now + NO_REUSE_S

    async def close(self):
        """Close the unpooled session; the pooled one belongs to the caller."""
        if self._fresh is not None:
            await self._fresh.close()
            # Let the transports close before the event loop does.
            await asyncio.sleep(0)

    def _prune(self, now):
        expired = [a for a, until in self.no_reuse_until.items() if until <= now]
        for address in expired:
            del self.no_reuse_until[address]
