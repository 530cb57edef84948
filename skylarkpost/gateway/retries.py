"""Decides whether a request may be retried after a failed attempt."""

import enum
from typing import NamedTuple

from skylarkpost.routing import RouteKind

__all__ = ["AttemptFailure", "FailureKind", "RetryPolicy", "may_retry"]


# If this many attempts got no connection, the targets have none available soon.
MAX_UNSENT_ATTEMPTS = 4


class FailureKind(enum.StrEnum):
    """What a failed attempt says about whether the request was executed."""

    NOT_SENT = "not-sent"
    HELD_BACK = "held-back"
    NOT_EXECUTED = "not-executed"
    UNKNOWN = "may-have-run"
    FAILED = "target-failed"
    TIMED_OUT = "timed-out"


class AttemptFailure(NamedTuple):
    """A failed attempt.

    Attributes
    ----------
    kind : FailureKind
        Whether the request may have been executed.
    detail : str
        Text for the log.
    answer : object or None
        The target's answer, if it sent one.
    """

    kind: FailureKind
    detail: str
    answer: object = None


class RetryPolicy(NamedTuple):
    """Limits on the attempts of one request.

    Attributes
    ----------
    kind : RouteKind
        Kind of the route; decides what may be repeated.
    is_resumable : bool
        Whether a broken stream may be resumed at another target.
    max_targets : int
        Maximum number of targets that the request may be sent to.
    """

    kind: RouteKind
    is_resumable: bool
    max_targets: int


def may_retry(policy, failure, *, targets_tried, time_left, budget, unsent_attempts=0):
    """Return whether a request may be retried.

    Parameters
    ----------
    policy : RetryPolicy
        Limits on its attempts.
    failure : AttemptFailure
        How the last attempt ended.
    targets_tried : int
        Number of targets that the request was sent to.
    time_left : float
        Seconds until its deadline.
    budget : skylarkpost.relay.retry_budget.RetryBudget
        Shared by all requests; charged unless the last attempt never left this
        instance.
    unsent_attempts : int
        Attempts that never left this instance, including the last one.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: targets fail a fraction of their requests and callers retry at
    once. To keep retries from multiplying the load of the targets, every retry is
    charged to the budget, except after attempts that never left this instance.
    """
    if time_left <= 0 or failure.kind is FailureKind.TIMED_OUT:
        return False
    if failure.kind in (FailureKind.NOT_SENT, FailureKind.HELD_BACK):
        return unsent_attempts <= MAX_UNSENT_ATTEMPTS
    repeatable = policy.kind is RouteKind.SAFE or policy.is_resumable
    if failure.kind is not FailureKind.NOT_EXECUTED and not repeatable:
        return False
    if targets_tried >= policy.max_targets:
        return False
    return budget.take()
