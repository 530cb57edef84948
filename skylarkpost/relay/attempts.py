"""Retry decisions and the run state reported after failed attempts."""

from dataclasses import dataclass, replace

from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["AttemptFailed", "AttemptLedger", "GiveUp", "Retry"]

MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True)
class AttemptFailed:
    """The failure of one attempt, without a complete answer.

    Parameters
    ----------
    reason : Reason
        Cause of the failure.
    detail : str
        Description for logs and the `explain` command.
    may_have_run : bool
        Whether the target may have started to process the request.
    avoid_target : bool
        Whether the next attempt should use another target.
    """

    reason: Reason
    detail: str
    may_have_run: bool
    avoid_target: bool = True


@dataclass(frozen=True, kw_only=True)
class Retry:
    """Decision to make another attempt."""


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Decision to make no further attempt.

    Parameters
    ----------
    refusal : Refused
        The refusal sent to the caller.
    """

    refusal: Refused


class AttemptLedger:
    """Counts the attempts of one request and decides on retries.

    Parameters
    ----------
    repeatable : bool
        Whether the request may run more than once.
    budget : RetryBudget
        Limits the retries of the whole instance.

    Attributes
    ----------
    attempts : int
        Number of attempts started.
    may_have_run : bool
        Whether any attempt may have run. Once True, it stays True.
    avoid : set of str
        Targets that the next attempt should not use.
    """

    def __init__(self, *, repeatable, budget):
        self.repeatable = repeatable
        self.budget = budget
        self.attempts = 0
        self.may_have_run = False
        self.avoid = set()

    def begin(self):
        """Count an attempt that is about to start."""
        assert self.repeatable or not self.may_have_run
        self.attempts += 1
        if self.attempts == 1:
            self.budget.record_first_attempt()

    def record_failure(self, failure, *, target, now, deadline):
        """Record a failed attempt and decide whether to retry.

        Parameters
        ----------
        failure : AttemptFailed
            How the attempt failed.
        target : str
            Target of the attempt.
        now, deadline : float
            Current time and deadline of the request, in seconds.

        Returns
        -------
        Retry or GiveUp
        """
        self.may_have_run |= failure.may_have_run
        if failure.avoid_target:
            self.avoid.add(target)
        if self.may_have_run and not self.repeatable:
            return GiveUp(refusal=self.refusal(failure.reason, failure.detail))
        if now >= deadline:
            return GiveUp(refusal=self.refusal(Reason.DEADLINE_PASSED, failure.detail))
        if self.attempts >= MAX_ATTEMPTS or not self.budget.take():
            reason = Reason.RETRIES_EXHAUSTED
            return GiveUp(refusal=self.refusal(reason, failure.detail))
        return Retry()

    def cancellation_refusal(self, refusal, *, dispatched):
        """Return the refusal for a request that was cancelled from outside.

        Parameters
        ----------
        refusal : Refused
            Why it was cancelled, e.g. because its caller disconnected.
        dispatched : bool
            Whether bytes of the request may have reached a target.

        Returns
        -------
        Refused
            The same refusal, with the run state that covers all attempts.
        """
        if self.may_have_run or dispatched:
            return replace(refusal, run_state=RunState.UNKNOWN)
        return refusal

    def refusal(self, reason, detail):
        """Return a refusal whose run state covers all attempts so far.

        Parameters
        ----------
        reason : Reason
            Why the request gets no answer.
        detail : str
            Description of the last failure.

        Returns
        -------
        Refused
        """
        if self.may_have_run:
            state, summary = RunState.UNKNOWN, "The request may have run"
        else:
            state, summary = RunState.NOT_RUN, "The request was not run"
        return Refused(
            reason=reason,
            message=f"{summary}: {detail}.",
            run_state=state,
            retry_after=None if self.may_have_run else 1.0,
        )
