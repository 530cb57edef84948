"""Metadata that requests and answers carry in their headers."""

from typing import NamedTuple

__all__ = ["AnswerMetadata", "PromptPart", "RequestMetadata"]


class PromptPart(NamedTuple):
    """One part of a prompt, which several requests may share.

    Attributes
    ----------
    part_id : str
        Identifies the part's text.
    tokens : int
        Length of the part.
    """

    part_id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """Metadata that a caller sends with its request.

    Attributes
    ----------
    attempt_id : str
        Unique to each attempt of a caller.
    key : str or None
        The caller's key.
    timeout : float or None
        Seconds that the caller waits, from when it sent the request.
    model, adapter : str or None
        Base model, and the adapter on top of it.
    prompt_tokens, output_tokens : int or None
        Tokens of the prompt, and the maximum number to generate.
    prompt_parts : tuple of PromptPart
        Parts of the prompt in order, as far as the caller states them.
    last_event_id : str or None
        Event after which a stream is to be resumed.
    resumes : str or None
        Attempt of the caller that brought the first event of that stream.
    """

    attempt_id: str
    key: str | None
    timeout: float | None
    model: str | None
    adapter: str | None
    prompt_tokens: int | None
    output_tokens: int | None
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str | None
    resumes: str | None = None


class AnswerMetadata(NamedTuple):
    """Metadata that a target sends with its answer.

    Attributes
    ----------
    attempt_id : str or None
        Attempt that the answer belongs to.
    not_executed : bool
        Whether the target states that it did not run the request.
    is_stamped : bool
        Whether the answer carries the target's signature.
    request_limit : float or None
        Requests a second that the target accepts from all instances together; None
        if it names no limit.
    is_leaving : bool
        Whether the target says that it leaves.
    pause : float or None
        Seconds for which the target wants nothing from this instance; None if it
        turns nothing away or names no time. Not finite if the time can't be read.
    warm_up_left : float or None
        Seconds until the target has warmed up; None if it doesn't say so.
    """

    attempt_id: str | None
    not_executed: bool
    is_stamped: bool
    request_limit: float | None = None
    is_leaving: bool = False
    pause: str | None = None
    warm_up_left: float | None = None
