"""When the reports of other instances were made, on the clock of this one."""

from typing import NamedTuple

__all__ = ["ReportClock"]

# The clocks of two machines may drift apart by this much per second.
MAX_DRIFT = 1e-4


class _Offset(NamedTuple):
    boot: str
    seconds: float
    known_at: float


class ReportClock:
    """Converts the times in reports to the clock of this instance.

    A report that waits for a heartbeat, or is relayed, is older than its arrival
    tells. The clocks of two machines differ by a constant; the fastest report shows
    it, since it was hardly delayed.

    Examples
    --------
    >>> clock = ReportClock()
    >>> clock.convert("i-1", "b-1", 500.0, 1000.1)
    1000.1
    >>> clock.convert("i-1", "b-1", 501.0, 1001.0)
    1001.0
    >>> round(clock.convert("i-1", "b-1", 502.0, 1002.8), 3)
    1002.0
    """

    def __init__(self):
        self.offsets = {}

    def convert(self, instance, boot, made_at, now):
        """Return when a report was made.

        Parameters
        ----------
        instance, boot : str
            The sender.
        made_at : float
            When it was made, in seconds of the sender's clock.
        now : float
            When it arrived, in seconds of the own clock.

        Returns
        -------
        float
            Seconds of the own clock, not later than `now`.
        """
        seconds = now - made_at
        known = self.offsets.get(instance)
        if known is not None and known.boot == boot:
            drift = MAX_DRIFT * max(0.0, now - known.known_at)
            seconds = min(seconds, known.seconds + drift)
        self.offsets[instance] = _Offset(boot, seconds, now)
        return made_at + seconds

    def is_restarted(self, instance, boot):
        """Return whether reports of another boot of an instance are known.

        Parameters
        ----------
        instance, boot : str
            The sender.

        Returns
        -------
        bool
        """
        known = self.offsets.get(instance)
        return known is not None and known.boot != boot

    def retain(self, instances):
        """Drop what is known of all other instances.

        Parameters
        ----------
        instances : collection of str
            Ids of the instances to keep.
        """
        for instance in [each for each in self.offsets if each not in instances]:
            del self.offsets[instance]
