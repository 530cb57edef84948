"""Bounds retries to a fraction of first tries."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A bucket that first tries fill and retries empty.

    Parameters
    ----------
    ratio : float
        Retries earned by one first try.
    reserve : float
        Retries that can be saved up, also those available at the start.

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
        """Count one first try."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def resize(self, reserve):
        """Change how many retries can be saved up.

        Parameters
        ----------
        reserve : float
            The new reserve. A larger one has to be earned.
        """
        self.reserve = reserve
        self.balance = min(reserve, self.balance)

    def take(self):
        """Take one retry from the budget.

        Returns
        -------
        bool
            Whether there was one.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        assert self.balance >= 0.0
        return True
