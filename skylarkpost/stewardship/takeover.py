"""Waiting periods when a steward takes over from its predecessor."""

__all__ = ["Takeover"]

FENCE_RETRY_S = 0.5


class Takeover:
    """Earliest times at which a new steward may grant tickets and evict.

    A target that checks fencing numbers has to receive the new number first. On
    a target that does not, the predecessor may act until its authority has
    expired and its orders have arrived, and its tickets stay valid for one more
    lease.

    Parameters
    ----------
    policy : StewardPolicy
        Durations of the leases.
    fencing : bool
        Whether the target checks fencing numbers.
    predecessor : bool
        Whether another steward may have acted on the target.
    now : float
        Current time, in seconds.

    Attributes
    ----------
    must_fence : bool
        Whether the target has not yet received the fencing number.
    grants_from, evicts_from : float
        Earliest times for grants and evictions, in seconds.
    """

    def __init__(self, *, policy, fencing, predecessor, now):
        self.must_fence = predecessor and fencing
        self.grants_from = now
        self.evicts_from = now
        self._fence_sent_at = None
        if predecessor and not fencing:
            self.grants_from = now + policy.authority_lease + policy.order_linger
            settled = policy.ticket_lease + policy.lease_margin
            self.evicts_from = self.grants_from + settled

    def may_grant(self, now):
        """Return whether tickets may be granted.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
        """
        return not self.must_fence and now >= self.grants_from

    def begin_fence_attempt(self, now):
        """Return whether to send the fencing number to the target now.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            False until the answer to the previous attempt had time to arrive.
            True also records an attempt.
        """
        if (
            self._fence_sent_at is not None
            and now - self._fence_sent_at < FENCE_RETRY_S
        ):
            return False
        self._fence_sent_at = now
        return True

    def note_fenced(self, now):
        """Record that the target has received the fencing number.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        if self.must_fence:
            self.must_fence = False
            self.evicts_from = now

    def note_restarted(self):
        """Record that the target has restarted and knows no fencing number."""
        self.must_fence = False

    def note_handed_over(self, now):
        """Record that the predecessor has retired and handed over its tickets.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        self.grants_from = now
        self.evicts_from = now
