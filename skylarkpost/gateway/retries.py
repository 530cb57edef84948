"""Whether a request may go to another target after a failure."""

import enum
from typing import NamedTuple

from skylarkpost.routing import RouteKind

__all__ = ["AttemptFailure", "FailureKind", "RetryPolicy", "may_retry"]


# A pool of which so many targets take no connection has none to give soon.
MAX_UNSENT_ATTEMPTS = 4


class FailureKind(enum.StrEnum):
    """What is known of a request after a failed attempt."""

    NOT_SENT = "not-sent"
    NOT_EXECUTED = "not-executed"
    UNKNOWN = "may-have-run"
    FAILED = "target-failed"
    TIMED_OUT = "timed-out"


class AttemptFailure(NamedTuple):
    """A failed attempt.

    Attributes
    ----------
    kind : FailureKind
        What is known.
    detail : str
        For the log.
    answer : object or None
        The target's own answer, where it gave one.
    """

    kind: FailureKind
    detail: str
    answer: object = None


class RetryPolicy(NamedTuple):
    """What bounds the attempts of one request.

    Attributes
    ----------
    kind : RouteKind
        What may be repeated.
    is_resumable : bool
        Whether a stream may go on at another target.
    max_targets : int
        Most targets that the request may be sent to.
    """

    kind: RouteKind
    is_resumable: bool
    max_targets: int


def may_retry(policy, failure, *, targets_tried, time_left, budget, unsent_attempts=0):
    """Return whether a request may be tried once more.

    Parameters
    ----------
    policy : RetryPolicy
        What bounds its attempts.
    failure : AttemptFailure
        How the last attempt ended.
    targets_tried : int
        Targets that the request was sent to.
    time_left : float
        Seconds until its deadline.
    budget : skylarkpost.relay.retry_budget.RetryBudget
        Shared by all requests; charged where a target may receive the request
        once more.
    unsent_attempts : int
        Attempts that never left this instance, the last one included.

    Returns
    -------
    bool

    Notes
    -----
    Load pattern: targets that fail part of their requests while callers come
    back at once. Retries must not multiply what targets receive, so all but
    attempts that never left this instance come out of the budget.
    """
    if time_left <= 0 or failure.kind is FailureKind.TIMED_OUT:
        return False
    if failure.kind is FailureKind.NOT_SENT:
        return unsent_attempts <= MAX_UNSENT_ATTEMPTS
    repeatable = policy.kind is RouteKind.SAFE or policy.is_resumable
    if failure.kind is not FailureKind.NOT_EXECUTED and not repeatable:
        return False
    if targets_tried >= policy.max_targets:
        return False
    return budget.take()
