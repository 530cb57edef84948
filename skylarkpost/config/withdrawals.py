"""Cancels the requests of withdrawn keys."""

import logging

from skylarkpost.eventlog import log_event
from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["WithdrawalHandler"]

logger = logging.getLogger(__name__)


class WithdrawalHandler:
    """Cancels queued requests and open streams when their key changes.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Provides the open requests.
    """

    def __init__(self, *, services):
        self.services = services

    def note_key_change(self, change, now):
        """Cancel the requests that a changed key no longer permits.

        Parameters
        ----------
        change : skylarkpost.config.ItemChange
            The change of a key.
        now : float
            Current time, in seconds.
        """
        team = None if change.item is None else change.item.team
        cancelled = 0
        for exchange in list(self.services.exchanges.values()):
            if exchange.key_hash != change.name or exchange.team in (None, team):
                continue
            exchange.cancel(_refusal(exchange))
            exchange.note("key", "withdrawn", now=now, detail="while it was open")
            cancelled += 1
        if change.item is None:
            self.services.metrics.count_event("key-withdrawn")
            log_event(logger, "key-withdrawn", requests_cancelled=cancelled)


def _refusal(exchange):
    run_state = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
    return Refused(
        reason=Reason.KEY_WITHDRAWN,
        message="The key was withdrawn while the request was open.",
        run_state=run_state,
    )
