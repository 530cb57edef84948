"""Refusals of requests that an instance can't finish before it stops."""

from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["refuse_all", "shutdown_refusal"]

# Another instance can serve the request immediately.
RETRY_AFTER_S = 0.02


def shutdown_refusal(run_state):
    """Return the refusal of a request that this instance can't finish.

    Parameters
    ----------
    run_state : RunState
        Whether the request may have run.

    Returns
    -------
    Refused
    """
    return Refused(
        reason=Reason.SHUTTING_DOWN,
        message="This instance is shutting down.",
        run_state=run_state,
        retry_after=RETRY_AFTER_S,
    )


def refuse_all(exchanges):
    """End the requests that are still open when the grace is over.

    Parameters
    ----------
    exchanges : iterable of Exchange
        The open requests.

    Returns
    -------
    int
        Number of requests ended.
    """
    count = 0
    for exchange in list(exchanges):
        if exchange.cancelled is None:
            ran = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
            exchange.cancel(shutdown_refusal(ran))
            count += 1
    return count
