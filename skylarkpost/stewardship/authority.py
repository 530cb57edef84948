"""Whether an instance may still act as a steward."""

import math

__all__ = ["Authority", "StandingAuthority"]


class StandingAuthority:
    """Authority that never ends, for use without other instances."""

    gained_at = -math.inf

    def is_valid(self, now):
        """Return True.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        return True


class Authority:
    """The lease on which an instance acts for all of its targets.

    It is confirmed by a fresh read of the log, since a newer claim would have
    been seen. Where the log cannot be read, nobody else of the data centre can
    have appended a claim since; the authority goes on as long as the live
    neighbours are heard and tell of no newer claim. After a pause nothing from
    before counts: a neighbour may have claimed, and gone silent since.

    Parameters
    ----------
    lease : float
        Seconds for which one confirmation lasts.
    settle : float
        Seconds after a pause until neighbours count: all that are alive have
        been heard by then, and what others have ordered has ended.
    gap : float
        Seconds between two ticks that count as a pause.

    Attributes
    ----------
    confirmed_at : float
        Time up to which nobody else can have taken over.
    gained_at : float
        When the authority was last gained after it had been lost.
    resumed_at : float
        When the instance last came back from a pause.
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
            The present time, in seconds.

        Returns
        -------
        bool
        """
        self._note_time(now)
        return now - self.confirmed_at <= self.lease

    def note_resumed(self, now):
        """Note that the instance was paused: it has to confirm first.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        self.resumed_at = now
        self.confirmed_at = -math.inf

    def note_log_read(self, fresh_at, now):
        """Note a read of the log up to its end, without a newer claim in it.

        Parameters
        ----------
        fresh_at : float
            When the read began, in seconds.
        now : float
            The present time, in seconds.
        """
        self._note_time(now)
        if fresh_at > self.resumed_at:
            self._confirm(fresh_at, now)

    def note_neighbours(self, received_at, now):
        """Note when the live instances of the data centre were last heard.

        Parameters
        ----------
        received_at : list of float
            For each live neighbour, when it was last heard, in seconds.
        now : float
            The present time, in seconds.
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
