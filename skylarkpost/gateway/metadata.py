"""What a request and an answer say of themselves beside their bodies."""

from typing import NamedTuple

__all__ = ["AnswerMetadata", "PromptPart", "RequestMetadata"]


class PromptPart(NamedTuple):
    """One part of a prompt; requests share parts.

    Attributes
    ----------
    part_id : str
        Names the part's text.
    tokens : int
        Its length.
    """

    part_id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """What a caller says of its request.

    Attributes
    ----------
    attempt_id : str
        Unique to each attempt of a caller.
    key : str or None
        The caller's key.
    timeout : float or None
        Seconds that the caller waits from when it sent the request.
    model, adapter : str or None
        Base model, and the adapter on top of it.
    prompt_tokens, output_tokens : int or None
        Tokens of the prompt, and the most that may be generated.
    prompt_parts : tuple of PromptPart
        The prompt in order, as far as the caller tells.
    last_event_id : str or None
        Event after which a stream is to go on.
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


class AnswerMetadata(NamedTuple):
    """What a target says of its answer.

    Attributes
    ----------
    attempt_id : str or None
        The attempt that it answers.
    not_executed : bool
        Whether the target states that it did not run the request.
    is_stamped : bool
        Whether it bears the target's signature.
    """

    attempt_id: str | None
    not_executed: bool
    is_stamped: bool
