"""Refusal of a quarantined request."""

from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["quarantine_refusal"]


def quarantine_refusal(verdict, *, run_state=RunState.NOT_RUN):
    """Return the refusal for a quarantined request.

    Parameters
    ----------
    verdict : skylarkpost.quarantine.Quarantined
        The verdict.
    run_state : RunState
        Whether this request may have run, as opposed to an earlier one with
        the same fingerprint.

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
