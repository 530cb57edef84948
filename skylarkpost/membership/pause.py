"""Detects pauses of this process."""

__all__ = ["PauseDetector"]

PAUSE_THRESHOLD_S = 1.0


class PauseDetector:
    """Detects gaps between the times at which the process was seen running.

    Parameters
    ----------
    now : float
        Current time, in seconds.
    threshold : float
        Longer gaps, in seconds, count as pauses.

    Attributes
    ----------
    last_resumed_at : float or None
        When the process resumed from its last pause; None if there was none.
    pauses : int
        Number of detected pauses.

    Examples
    --------
    >>> detector = PauseDetector(now=0.0)
    >>> detector.observe(now=0.05)
    0.0
    >>> detector.observe(now=4.05)
    4.0
    >>> detector.last_resumed_at
    4.05
    """

    def __init__(self, *, now, threshold=PAUSE_THRESHOLD_S):
        self.threshold = threshold
        self.observed_at = now
        self.last_resumed_at = None
        self.pauses = 0

    def observe(self, *, now):
        """Record that the process is running.

        Called often by a timer, and before each decision that a pause would
        invalidate, since after a pause the timer may not be the first to run.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Duration in seconds of the pause that has just ended; 0 if none.
        """
        gap = now - self.observed_at
        assert gap >= 0.0, "the clock went backwards"
        self.observed_at = now
        if gap <= self.threshold:
            return 0.0
        self.last_resumed_at = now
        self.pauses += 1
        return gap
