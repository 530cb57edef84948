"""Pool of keep-alive connections, limited for each target."""

import asyncio
from typing import NamedTuple

from skylarkpost.transport.client import ConnectFailed, open_connection

__all__ = ["ConnectionPool", "PoolExhausted", "max_idle_time"]

# Several round trips, even between data centres. A network partition is noticed
# only after this time.
CONNECT_TIMEOUT_S = 0.3
# Idle timeout of targets that announce none.
DEFAULT_IDLE_TIMEOUT_S = 1.0
# Fraction of the idle timeout within which a connection is reused, so that a
# request does not race with the target's close.
REUSE_FRACTION = 0.7


class PoolExhausted(NamedTuple):
    """All connections that this instance may open to the target are in use."""

    detail: str = "all connections in use"


class _TargetConnections:
    def __init__(self):
        self.idle = []
        self.open = 0
        self.idle_timeout = None


def max_idle_time(stated):
    """Return how long an idle connection may be reused.

    Parameters
    ----------
    stated : float or None
        Idle timeout in seconds that the target announced, if any.

    Returns
    -------
    float
        Seconds.

    Examples
    --------
    >>> max_idle_time(10.0), max_idle_time(None)
    (7.0, 0.7)
    """
    return REUSE_FRACTION * (DEFAULT_IDLE_TIMEOUT_S if stated is None else stated)


class ConnectionPool:
    """Keep-alive connections by target.

    Parameters
    ----------
    clock : callable
        Returns the current time in seconds.
    on_opened : callable
        Called with the target's name after each new connection opened.
    """

    def __init__(self, *, clock, on_opened=None):
        self.clock = clock
        self.on_opened = on_opened
        self.targets = {}

    async def get(self, name, address, *, limit, is_fresh=False):
        """Return an idle connection to a target, or open one.

        Parameters
        ----------
        name : str
            Id of the target's run; runs at the same address share no connections.
        address : str
            ``IP:PORT``.
        limit : int
            Maximum number of connections of this instance to the target.
        is_fresh : bool
            Whether a connection is opened even if an idle one could be used; an idle
            one gives way to it.

        Returns
        -------
        TargetConnection, ConnectFailed or PoolExhausted
        """
        target = self.targets.setdefault(name, _TargetConnections())
        kept = None if is_fresh else self._take_idle(target)
        if kept is not None:
            return kept
        if target.open >= limit and target.idle:
            target.idle[0].close()
        if target.open >= limit:
            return PoolExhausted()
        target.open += 1
        connection = ConnectFailed("cancelled")
        try:
            connection = await open_connection(
                address, timeout=CONNECT_TIMEOUT_S, clock=self.clock
            )
        finally:
            if isinstance(connection, ConnectFailed):
                target.open -= 1
        if isinstance(connection, ConnectFailed):
            return connection
        connection.on_lost = lambda lost: self._forget(target, lost)
        if self.on_opened is not None:
            self.on_opened(name)
        return connection

    def release_connection(self, name, connection):
        """Return a connection to the pool, or close it if it cannot be reused.

        Parameters
        ----------
        name : str
            Id of the target's run.
        connection : TargetConnection
            Connection whose last response was read completely.
        """
        target = self.targets.get(name)
        if target is None or not connection.is_reusable:
            connection.close()
            return
        assert connection not in target.idle, "the connection was released twice"
        if connection.idle_timeout is not None:
            target.idle_timeout = connection.idle_timeout
        target.idle.append(connection)

    def drop(self, name):
        """Close the idle connections of a target that was removed.

        Parameters
        ----------
        name : str
            Id of the target's run.
        """
        target = self.targets.pop(name, None)
        if target is not None:
            for connection in list(target.idle):
                connection.close()

    def expire(self):
        """Close connections that were idle for too long to be reused."""
        now = self.clock()
        for target in self.targets.values():
            bound = max_idle_time(target.idle_timeout)
            for connection in list(target.idle):
                if now - connection.idle_since >= bound:
                    connection.close()

    async def close(self):
        """Close all idle connections."""
        for name in list(self.targets):
            self.drop(name)
        await asyncio.sleep(0)

    def _take_idle(self, target):
        now = self.clock()
        bound = max_idle_time(target.idle_timeout)
        while target.idle:
            connection = target.idle.pop()
            is_fresh = now - connection.idle_since < bound
            if is_fresh and connection.is_reusable:
                return connection
            connection.close()
        return None

    def _forget(self, target, connection):
        target.open -= 1
        if connection in target.idle:
            target.idle.remove(connection)
