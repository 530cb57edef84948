"""Retry budget that limits retries to a fraction of first attempts."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Parameters
    ----------
    ratio : float
        Retries added by each first attempt.
    reserve : float
        Capacity of the bucket in retries; the bucket starts full.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, reserve=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.record_first_attempt(), budget.record_first_attempt(), budget.take()
    (None, None, True)
    """

    def __init__(self, *, ratio, reserve):
        self.ratio = ratio
        self.reserve = reserve
        self.balance = reserve

    def record_first_attempt(self):
        """Add the share of a retry that one first attempt earns."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def resize(self, reserve):
        """Change the capacity of the bucket.

        Parameters
        ----------
        reserve : float
            The new capacity. Growth does not add to the balance; first attempts
            have to fill it.
        """
        self.reserve = reserve
        self.balance = min(reserve, self.balance)

    def take(self):
        """Spend one retry if the balance allows it.

        Returns
        -------
        bool
            True if a retry was available.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        assert self.balance >= 0.0
        return True
