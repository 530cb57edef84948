"""Finds out that the process was paused."""

__all__ = ["PauseDetector"]

PAUSE_THRESHOLD_S = 1.0


class PauseDetector:
    """Sees gaps between moments at which the process ran.

    Parameters
    ----------
    now : float
        The present time, in seconds.
    threshold : float
        Longer gaps, in seconds, count as pauses.

    Attributes
    ----------
    last_resumed_at : float or None
        When the process came back from its last pause; None if there was none.
    pauses : int
        Number of pauses so far.

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
        """Note that the process runs.

        Called often by a timer, and by each decision that a pause would spoil:
        after a pause the timer need not be the first to run.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Seconds of the pause that has just ended; 0 if there was none.
        """
        gap = now - self.observed_at
        assert gap >= 0.0, "the clock went back"
        self.observed_at = now
        if gap <= self.threshold:
            return 0.0
        self.last_resumed_at = now
        self.pauses += 1
        return gap
