"""Outcome types of a request."""

import enum
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from skylarkpost.outcomes.reasons import Reason

__all__ = ["Outcome", "Refused", "Relayed", "RunState"]


class RunState(enum.StrEnum):
    """Whether a request ran on a target."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    RUNNING = "running"
    UNKNOWN = "may-have-run"


@dataclass(frozen=True, kw_only=True)
class Refused:
    """A request that gets an error instead of an answer.

    Parameters
    ----------
    reason : Reason
        Why it was refused.
    message : str
        Explanation for the caller, in one sentence.
    run_state : RunState
        Whether the request ran. ``NOT_RUN`` only if that is certain.
    retry_after : float or None
        Seconds after which a retry may succeed, if known.
    """

    reason: Reason
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True)
class Relayed:
    """An answer from a target, relayed to the caller.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    headers : dict of str to str
        Headers for the caller.
    body : async generator of bytes
        The body of the answer, in chunks.
    """

    status: int
    body: AsyncGenerator[bytes, None]
    headers: dict[str, str] = field(default_factory=dict)


Outcome = Refused | Relayed
