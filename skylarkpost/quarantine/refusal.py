"""What the caller of a quarantined request is told."""

from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["quarantine_refusal"]


def quarantine_refusal(verdict, *, run_state=RunState.NOT_RUN):
    """Return the refusal for a quarantined request.

    Parameters
    ----------
    verdict : skylarkpost.quarantine.Quarantined
        The verdict.
    run_state : RunState
        Whether this request, not an earlier one like it, may have run.

    Returns
    -------
    Refused
    """
    return Refused(
        reason=Reason.QUARANTINED,
        message="Targets crashed while this request ran on them.",
        run_state=run_state,
        retry_after=verdict.seconds_left,
    )
