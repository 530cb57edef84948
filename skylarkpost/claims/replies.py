"""Answers to callers about claimed keys."""

from skylarkpost.claims.table import Progress
from skylarkpost.outcomes import Reason, Refused, Relayed, RunState

__all__ = ["answer_repeated", "refuse", "refuse_too_old"]

REPLAYED_HEADER = {"idempotent-replayed": "true"}
RUNNING_RETRY_S = 1.0

MESSAGES = {
    Reason.IDEMPOTENCY_KEY_MISSING: (
        "Calls on this route may not be repeated and need an Idempotency-Key, "
        "a UUID of version 7."
    ),
    Reason.CLAIM_LOG_UNAVAILABLE: (
        "This request was not run, since its key could not be claimed in time. "
        "Send it again with the same key."
    ),
}


def refuse(reason, message=None, *, run_state=RunState.NOT_RUN, retry_after=None):
    """Return a refusal.

    Parameters
    ----------
    reason : Reason
        Reason of the refusal.
    message : str or None
        Explanation; None for the default of the reason.
    run_state : RunState
        Whether the work ran.
    retry_after : float or None
        Seconds after which a retry may succeed.

    Returns
    -------
    Refused
    """
    return Refused(
        reason=reason,
        message=message or MESSAGES[reason],
        run_state=run_state,
        retry_after=retry_after,
    )


def refuse_too_old():
    """Return the refusal of a key whose claim may have expired.

    Returns
    -------
    Refused
    """
    return refuse(
        Reason.IDEMPOTENCY_KEY_TOO_OLD,
        "The Idempotency-Key is so old that an earlier call with it may have run "
        "and been forgotten.",
        run_state=RunState.UNKNOWN,
    )


def answer_repeated(state, fingerprint, *, time):
    """Answer a request whose key is already claimed.

    Parameters
    ----------
    state : ClaimState
        State of the first claim.
    fingerprint : str
        Hash of this request.
    time : float
        Current wall-clock time, in seconds.

    Returns
    -------
    Relayed or Refused
    """
    if state.fingerprint != fingerprint:
        return refuse(
            Reason.IDEMPOTENCY_KEY_REUSED,
            "The Idempotency-Key was used for another request; this one was not run.",
        )
    if state.progress is Progress.RELEASED:
        return refuse(Reason.CLAIM_LOG_UNAVAILABLE, retry_after=RUNNING_RETRY_S)
    if state.progress is Progress.ANSWERED and state.answer.body is not None:
        return _replay(state.answer)
    if state.progress is Progress.ANSWERED:
        message = "The call has run; its answer was too large to be kept."
        return _refuse_unknown(message)
    if state.progress is Progress.CLAIMED and time < state.ends_by:
        return refuse(
            Reason.CLAIM_RUNNING,
            "A call with this Idempotency-Key is running.",
            run_state=RunState.RUNNING,
            retry_after=RUNNING_RETRY_S,
        )
    return _refuse_unknown("A call with this Idempotency-Key may have run.")


def _refuse_unknown(message):
    return refuse(Reason.CLAIM_OUTCOME_UNKNOWN, message, run_state=RunState.UNKNOWN)


def _replay(answer):
    async def body():
        yield answer.body

    headers = dict(answer.headers) | REPLAYED_HEADER
    return Relayed(status=answer.status, headers=headers, body=body())
