"""Authority of an instance to act as a steward."""

import math

__all__ = ["Authority", "StandingAuthority"]


class StandingAuthority:
    """Authority that never expires, for a deployment of one instance."""

    gained_at = -math.inf

    def is_valid(self, now):
        """Return True.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
        """
        return True


class Authority:
    """Lease under which an instance acts as steward of all of its targets.

    A fresh read of the log renews it, because the read would have shown a newer
    claim. While the log cannot be read, no other instance of the data centre
    can append a claim either, so the lease is renewed as long as messages from
    all live neighbours arrive and report no newer claim. After a pause of the
    process earlier confirmations are discarded: a neighbour may have claimed
    and then gone silent.

    Parameters
    ----------
    lease : float
        Duration of the lease after one confirmation, in seconds.
    settle : float
        Seconds after a pause until messages from neighbours can confirm the
        lease. By then every live neighbour has sent a message, and the orders
        of other stewards have ended.
    gap : float
        Interval between two checks, in seconds, above which the process counts as
        paused.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which no other instance can have taken over, in seconds.
    gained_at : float
        When the lease was last regained after it had expired, in seconds.
    resumed_at : float
        When the process last resumed after a pause, in seconds.
    """

    def __init__(self, *, lease, settle, gap):
        self.lease = lease
        self.settle = settle
        self.gap = gap
        self.confirmed_at = -math.inf
        self.gained_at = -math.inf
        self.resumed_at = -math.inf
        self._last_checked_at = None

    def is_valid(self, now):
        """Return whether the instance may act as a steward.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
        """
        self._note_time(now)
        return now - self.confirmed_at <= self.lease

    def note_resumed(self, now):
        """Record a pause of the process, which invalidates the lease.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        self.resumed_at = now
        self.confirmed_at = -math.inf

    def note_log_read(self, fresh_at, now):
        """Record a read to the end of the log that showed no newer claim.

        Parameters
        ----------
        fresh_at : float
            When the read began, in seconds.
        now : float
            Current time, in seconds.
        """
        self._note_time(now)
        if fresh_at > self.resumed_at:
            self._confirm(fresh_at, now)

    def note_neighbours(self, received_at, now):
        """Record the last messages from the live instances of the data centre.

        Parameters
        ----------
        received_at : list of float
            Time of the last message from each live neighbour, in seconds.
        now : float
            Current time, in seconds.
        """
        self._note_time(now)
        if now - self.resumed_at < self.settle:
            return
        confirmed = min(received_at, default=now)
        if confirmed > self.resumed_at:
            self._confirm(confirmed, now)

    def _confirm(self, at, now):
        if now - self.confirmed_at > self.lease:
            self.gained_at = now
        self.confirmed_at = max(self.confirmed_at, at)

    def _note_time(self, now):
        if self._last_checked_at is not None and now - self._last_checked_at > self.gap:
            self.note_resumed(now)
        self._last_checked_at = now
