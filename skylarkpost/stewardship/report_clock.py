"""Converts the times of load reports to the local clock."""

import math

__all__ = ["ReportClock"]


class ReportClock:
    """Bounds the time at which reports of one engine boot were taken.

    Reports are stamped on the engine's clock. A report cannot have been taken
    after it was received, which bounds the engine's boot time from above. The
    lower bound comes from the engine's uptime if it is known, otherwise from
    the maximum age at which the engine returns reports. A report that is
    repeated or delayed in transit keeps its original time.

    Parameters
    ----------
    report_lag : float
        Maximum age of a report when the engine returns it, in seconds.
    """

    def __init__(self, *, report_lag):
        self.report_lag = report_lag
        self.latest_boot_time = math.inf
        self.earliest_boot_time = None

    def note_uptime(self, uptime, *, requested_at):
        """Record the uptime of the engine.

        Parameters
        ----------
        uptime : float
            Seconds since the boot at the time of its answer.
        requested_at : float
            Time of the query, on the local clock.
        """
        self.earliest_boot_time = requested_at - uptime

    def taken_no_earlier_than(self, taken_at, *, received_at):
        """Return the earliest time at which a report can have been taken.

        Parameters
        ----------
        taken_at : float
            Seconds since the boot, on the engine's clock.
        received_at : float
            Time of receipt, on the local clock.

        Returns
        -------
        float
            Seconds on the local clock.
        """
        boot_time = received_at - taken_at
        self.latest_boot_time = min(self.latest_boot_time, boot_time)
        if self.earliest_boot_time is not None:
            return self.earliest_boot_time + taken_at
        return self.latest_boot_time + taken_at - self.report_lag
