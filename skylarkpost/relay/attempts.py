"""Decides what follows a failed attempt, and what may be said of it."""

from dataclasses import dataclass, replace

from skylarkpost.outcomes import Reason, Refused, RunState

__all__ = ["AttemptFailed", "AttemptLedger", "GiveUp", "Retry"]

MAX_ATTEMPTS = 4


@dataclass(frozen=True, kw_only=True)
class AttemptFailed:
    """How one attempt ended without a whole answer.

    Parameters
    ----------
    reason : Reason
        What went wrong.
    detail : str
        For logs and explanations.
    may_have_run : bool
        Whether the target may have begun to work on it.
    avoid_target : bool
        Whether the next attempt should go elsewhere.
    """

    reason: Reason
    detail: str
    may_have_run: bool
    avoid_target: bool = True


@dataclass(frozen=True, kw_only=True)
class Retry:
    """Another attempt follows."""


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """No attempt follows.

    Parameters
    ----------
    refusal : Refused
        What the caller is told.
    """

    refusal: Refused


class AttemptLedger:
    """All attempts of one request.

    Parameters
    ----------
    repeatable : bool
        Whether the work may run more than once.
    budget : RetryBudget
        Bounds the retries of the whole instance.

    Attributes
    ----------
    attempts : int
        Attempts begun.
    may_have_run : bool
        Whether any attempt may have run. Never becomes False again.
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
        """Count one attempt that is about to begin."""
        assert self.repeatable or not self.may_have_run
        self.attempts += 1
        if self.attempts == 1:
            self.budget.record_first_attempt()

    def record_failure(self, failure, *, target, now, deadline):
        """Decide what follows a failed attempt.

        Parameters
        ----------
        failure : AttemptFailed
            How it ended.
        target : str
            Where it was made.
        now, deadline : float
            The present time and when the request has to have ended, in seconds.

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
        """Return what is true of a request that was stopped from outside.

        Parameters
        ----------
        refusal : Refused
            Why it was stopped, e.g. because its caller left.
        dispatched : bool
            Whether bytes of it may have reached a target.

        Returns
        -------
        Refused
            The same, with the run state of all attempts.
        """
        if self.may_have_run or dispatched:
            return replace(refusal, run_state=RunState.UNKNOWN)
        return refusal

    def refusal(self, reason, detail):
        """Return a refusal that is true of all attempts so far.

        Parameters
        ----------
        reason : Reason
            Why no answer comes.
        detail : str
            What happened last.

        Returns
        -------
        Refused
        """
        if self.may_have_run:
            state, told = RunState.UNKNOWN, "The request may have run"
        else:
            state, told = RunState.NOT_RUN, "The request was not run"
        return Refused(
            reason=reason,
            message=f"{told}: {detail}.",
            run_state=state,
            retry_after=None if self.may_have_run else 1.0,
        )
