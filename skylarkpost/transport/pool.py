"""Kept connections to targets, within what each target accepts."""

import asyncio
from typing import NamedTuple

from skylarkpost.transport.client import ConnectFailed, open_connection

__all__ = ["ConnectionPool", "PoolExhausted", "max_idle_time"]

# Some round trips, even between data centres; a cut shows no sooner.
CONNECT_TIMEOUT_S = 0.3
# Used where a target does not say when it closes an idle connection.
DEFAULT_IDLE_TIMEOUT_S = 1.0
# A connection is left alone for the last part of its time, so that a request
# does not cross the target's close.
REUSE_FRACTION = 0.7


class PoolExhausted(NamedTuple):
    """Every connection that this instance may open is in use."""

    detail: str = "all connections in use"


class _TargetConnections:
    def __init__(self):
        self.idle = []
        self.open = 0
        self.idle_timeout = None


def max_idle_time(stated):
    """Return for how long an idle connection is used again.

    Parameters
    ----------
    stated : float or None
        Seconds after which the target closes it, as the target has said.

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
    """Connections by target.

    Parameters
    ----------
    clock : callable
        Returns the present time in seconds.
    on_opened : callable
        Called with a target's name for each connection opened.
    """

    def __init__(self, *, clock, on_opened=None):
        self.clock = clock
        self.on_opened = on_opened
        self.targets = {}

    async def get(self, name, address, *, limit):
        """Return a connection to a target, a kept one if there is one.

        Parameters
        ----------
        name : str
            Run of the target; another run at the same address shares none.
        address : str
            ``IP:PORT``.
        limit : int
            Most connections of this instance to the target.

        Returns
        -------
        TargetConnection, ConnectFailed or PoolExhausted
        """
        target = self.targets.setdefault(name, _TargetConnections())
        kept = self._take_idle(target)
        if kept is not None:
            return kept
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
        """Keep a connection for the next request, if it can be used again.

        Parameters
        ----------
        name : str
            Run of the target.
        connection : TargetConnection
            Its last answer has been read whole.
        """
        target = self.targets.get(name)
        if target is None or not connection.is_reusable:
            connection.close()
            return
        assert connection not in target.idle, "a connection is given back twice"
        if connection.idle_timeout is not None:
            target.idle_timeout = connection.idle_timeout
        target.idle.append(connection)

    def drop(self, name):
        """Close the idle connections of a target that is gone.

        Parameters
        ----------
        name : str
            Run of the target.
        """
        target = self.targets.pop(name, None)
        if target is not None:
            for connection in list(target.idle):
                connection.close()

    def expire(self):
        """Close connections that have been idle for too long."""
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
