"""When a load report was taken, on the clock of the one who reads it."""

import math

__all__ = ["ReportClock"]


class ReportClock:
    """Bounds the time at which reports of one run of an engine were taken.

    A report holds seconds of the engine's clock. It cannot have been taken
    after it was received, which bounds the engine's boot time from above. It
    is bounded from below by the engine's uptime, where that is known, and else
    by the greatest age at which reports are handed out. A report that is
    repeated or was held up on the way keeps its old time.

    Parameters
    ----------
    report_lag : float
        Greatest age of a report when it is handed out, in seconds.
    """

    def __init__(self, *, report_lag):
        self.report_lag = report_lag
        self.latest_boot_time = math.inf
        self.earliest_boot_time = None

    def note_uptime(self, uptime, *, asked_at):
        """Note how long the engine has run.

        Parameters
        ----------
        uptime : float
            Seconds since the boot when it answered, without a lag.
        asked_at : float
            When it was asked, on the own clock.
        """
        self.earliest_boot_time = asked_at - uptime

    def taken_no_earlier_than(self, taken_at, *, received_at):
        """Return a time before which a report cannot have been taken.

        Parameters
        ----------
        taken_at : float
            Seconds since the boot, on the engine's clock.
        received_at : float
            When the report came, on the own clock.

        Returns
        -------
        float
            Seconds of the own clock.
        """
        boot_time = received_at - taken_at
        self.latest_boot_time = min(self.latest_boot_time, boot_time)
        if self.earliest_boot_time is not None:
            return self.earliest_boot_time + taken_at
        return self.latest_boot_time + taken_at - self.report_lag
