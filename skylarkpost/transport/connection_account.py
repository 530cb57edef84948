"""Bounds what the connections of callers hold together.

Load pattern: callers outside the limits send many large bodies at once, stop short of
their end and stay, or don't read their answers, while ordinary callers go on.
"""

import asyncio
import collections
import heapq
import os
import resource
from typing import NamedTuple

__all__ = [
    "AccountLimits",
    "ConnectionAccount",
    "TurnQueue",
    "connection_to_close",
    "limits_of_machine",
]

# Part of a machine's memory for what connections hold; the rest is the process itself,
# its buffers, and copies that live for a moment.
MEMORY_FRACTION = 0.25
# Bodies of the largest size that fit in any case: one in receipt, one being sent.
MIN_BODIES = 4
# Part of the capacity above which stalled connections are closed.
PRESSURE_FRACTION = 0.5
# A connection without progress for this long is stalled; several round trips and
# retransmissions.
STALL_S = 1.0
# What any connection may hold however much the others hold: heads and small bodies.
SMALL_BYTES = 16_384
# Descriptors that are not used for sockets.
RESERVED_DESCRIPTORS = 200
# Part of the other descriptors that is for callers; the rest is for targets, other
# instances and the store.
CALLER_FRACTION = 0.5
BYTES_PER_MB = 1_000_000
# Connections that are checked for unread bytes before one is closed.
MAX_UNREAD_CHECKS = 8


class AccountLimits(NamedTuple):
    """Limits on the connections of callers.

    Attributes
    ----------
    capacity : int
        Bytes that they hold together.
    connections : int
        Number of open connections.
    """

    capacity: int
    connections: int


def limits_of_machine(*, memory_mb=0.0, descriptors=0.0):
    """Return the limits for the memory and descriptors of a machine.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine, in megabytes; 0 for what the system names.
    descriptors : float
        Descriptors of the process; 0 for what the system allows.

    Returns
    -------
    AccountLimits

    Examples
    --------
    >>> limits_of_machine(memory_mb=160, descriptors=1638)
    AccountLimits(capacity=40000000, connections=719)
    """
    memory = memory_mb * BYTES_PER_MB
    if not memory:
        memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        allowed, _ = resource.getrlimit(resource.RLIMIT_AS)
        if allowed != resource.RLIM_INFINITY:
            memory = min(memory, allowed)
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = max(2.0, descriptors - RESERVED_DESCRIPTORS)
    return AccountLimits(
        int(MEMORY_FRACTION * memory), int(max(1, CALLER_FRACTION * sockets))
    )


class _Holding(NamedTuple):
    size: int
    progressed_at: float
    may_be_closed: bool


class ConnectionAccount:
    """What each connection holds, and which one is closed when there is too little room.

    Parameters
    ----------
    limits : AccountLimits
        The limits.

    Attributes
    ----------
    held : dict
        `_Holding` of each connection that holds something.
    total : int
        Bytes that all of them hold.

    Examples
    --------
    >>> account = ConnectionAccount(limits=AccountLimits(1_000_000, 10))
    >>> account.hold("a", 700_000, now=0.0)
    >>> account.hold("b", 600_000, now=1.5)
    >>> account.may_grow("b", body_limit=100_000)
    False
    >>> account.stalled(now=2.0, body_limit=100_000)
    ['a']
    """

    def __init__(self, *, limits):
        self.limits = limits
        self.held = {}
        self.total = 0

    def capacity(self, body_limit):
        """Return the bytes that connections may hold together.

        Parameters
        ----------
        body_limit : int
            Largest body, in bytes; some of them fit into any machine's capacity.

        Returns
        -------
        int
        """
        return max(self.limits.capacity, MIN_BODIES * body_limit)

    def hold(self, connection, size, *, now, may_be_closed=True):
        """Set what a connection holds.

        Parameters
        ----------
        connection : object
            The connection.
        size : int
            Bytes; 0 removes it.
        now : float
            The present time, in seconds; the connection makes progress now.
        may_be_closed : bool
            Whether it may be closed for others. Not while its request may run: its
            outcome would be unknown.
        """
        known = self.held.pop(connection, None)
        self.total += size - (0 if known is None else known.size)
        if size:
            self.held[connection] = _Holding(size, now, may_be_closed)

    def may_grow(self, connection, *, body_limit):
        """Return whether a connection may hold what it holds by now.

        Parameters
        ----------
        connection : object
            The connection.
        body_limit : int
            Largest body, in bytes.

        Returns
        -------
        bool
            False if its request has to be refused.
        """
        if self.total <= self.capacity(body_limit):
            return True
        known = self.held.get(connection)
        return known is None or known.size <= SMALL_BYTES

    def stalled(self, *, now, body_limit):
        """Return the connections to close, until what is left is below the pressure.

        Those that hold most for longest without progress go first.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        body_limit : int
            Largest body, in bytes.

        Returns
        -------
        list
            Connections; empty if there is room.
        """
        excess = self.total - PRESSURE_FRACTION * self.capacity(body_limit)
        if excess <= 0:
            return []
        idle = {
            connection: holding.size * (now - holding.progressed_at)
            for connection, holding in self.held.items()
            if holding.may_be_closed and now - holding.progressed_at >= STALL_S
        }
        chosen = []
        for connection in sorted(idle, key=idle.get, reverse=True):
            if excess <= 0:
                break
            excess -= self.held[connection].size
            chosen.append(connection)
        return chosen


def connection_to_close(candidates, *, most, now, has_unread):
    """Return the connection to close when one more than allowed is open.

    Parameters
    ----------
    candidates : iterable of (object, float or None)
        All open connections, with the time of their last byte in seconds; None while
        one has a request that may run.
    most : int
        Number of connections that may be open.
    now : float
        The present time, in seconds.
    has_unread : callable
        Takes a connection and returns whether bytes have arrived that it hasn't read.
        Called for a few connections.

    Returns
    -------
    object or None
        The one without a byte for longest, of those without unread bytes if some of
        the longest are; None if there is room.
    """
    candidates = list(candidates)
    if len(candidates) <= most:
        return None
    waiting = {
        connection: now - last for connection, last in candidates if last is not None
    }
    if not waiting:
        return candidates[0][0]
    oldest = heapq.nlargest(MAX_UNREAD_CHECKS, waiting, key=waiting.get)
    return next((each for each in oldest if not has_unread(each)), oldest[0])


class TurnQueue:
    """Gives one connection at a time a turn of the event loop.

    Load pattern: many callers send bodies in chunks of a few bytes, whose parsing takes
    a thousand times as long as that of large ones.

    Parameters
    ----------
    call_soon : callable or None
        Schedules a callback for the next turn of the event loop; None for that of the
        running one.
    """

    def __init__(self, *, call_soon=None):
        self.call_soon = call_soon
        self.waiting = collections.deque()
        self.is_scheduled = False

    def wait(self, resume):
        """Call back when it is the connection's turn.

        Parameters
        ----------
        resume : callable
            Called once.
        """
        self.waiting.append(resume)
        if not self.is_scheduled:
            self._schedule()

    def _schedule(self):
        self.is_scheduled = True
        (self.call_soon or asyncio.get_running_loop().call_soon)(self._give_turn)

    def _give_turn(self):
        resume = self.waiting.popleft()
        self.is_scheduled = False
        if self.waiting:
            self._schedule()
        resume()
