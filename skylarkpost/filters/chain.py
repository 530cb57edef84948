"""Runs a request through the filter chain."""

import logging

from skylarkpost.eventlog import log_event
from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["FilterChain"]

logger = logging.getLogger(__name__)


class FilterChain:
    """The ordered filters of one instance.

    Parameters
    ----------
    filters : list of Filter
        The filters in order; the last one must return an outcome.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(self, *, filters, clock):
        self.filters = filters
        self.clock = clock

    async def run(self, exchange):
        """Run one request through the filters until one returns an outcome.

        Parameters
        ----------
        exchange : Exchange
            The request.

        Returns
        -------
        Outcome
            The outcome of the request.
        """
        for step in self.filters:
            outcome = await step.apply(exchange)
            if exchange.cancelled is not None and outcome is None:
                outcome = exchange.cancelled
            if outcome is not None:
                self._note(exchange, step, outcome)
                exchange.outcome = outcome
                return outcome
            exchange.note(step.name, "passed", now=self.clock())
        log_event(logger, "chain-incomplete", request=exchange.request_id)
        exchange.outcome = Refused(
            reason=Reason.NO_TARGET,
            message="No part of this instance serves this request.",
            run_state=RunState.NOT_RUN,
        )
        return exchange.outcome

    def _note(self, exchange, step, outcome):
        if isinstance(outcome, Refused):
            decision, detail = f"refused:{outcome.reason}", outcome.message
        else:
            decision, detail = "answered", outcome.status
        exchange.note(step.name, decision, now=self.clock(), detail=detail)
