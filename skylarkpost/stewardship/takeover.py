"""How a new steward waits for the one before."""

__all__ = ["Takeover"]

FENCE_RETRY_S = 0.5


class Takeover:
    """From when a steward may grant tickets, and from when it may evict.

    A target that checks fencing numbers has to see the new one first. At one
    that does not, the steward before may act until its authority has ended and
    its orders have arrived, and its tickets live for a lease more.

    Parameters
    ----------
    policy : StewardPolicy
        Leases.
    fencing : bool
        Whether the target checks fencing numbers.
    predecessor : bool
        Whether another steward may have acted on the target before.
    now : float
        The present time, in seconds.

    Attributes
    ----------
    must_fence : bool
        Whether the target has yet to see the number.
    grants_from, evicts_from : float
        In seconds.
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
            The present time, in seconds.

        Returns
        -------
        bool
        """
        return not self.must_fence and now >= self.grants_from

    def is_fence_due(self, now):
        """Return whether the target should be sent the number now.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            Not again before the answer had time to come.
        """
        if (
            self._fence_sent_at is not None
            and now - self._fence_sent_at < FENCE_RETRY_S
        ):
            return False
        self._fence_sent_at = now
        return True

    def note_fenced(self, now):
        """Note that the target has seen the number.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        if self.must_fence:
            self.must_fence = False
            self.evicts_from = now

    def note_restarted(self):
        """Note that the target runs anew and knows no number."""
        self.must_fence = False

    def note_handed_over(self, now):
        """Note that the steward before has retired and told all tickets.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        self.grants_from = now
        self.evicts_from = now
