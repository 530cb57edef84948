"""Validation of the body of a model request."""

from dataclasses import dataclass
from typing import Annotated, Any, Literal

import pydantic
from pydantic import BaseModel, ConfigDict, Field

__all__ = ["InvalidContent", "ModelRequest", "parse_content"]

MAX_OUTPUT_TOKENS = 65_536
MAX_MESSAGES = 4096

OutputTokens = Annotated[int, Field(ge=1, le=MAX_OUTPUT_TOKENS)]


class Message(BaseModel):
    """One chat message."""

    model_config = ConfigDict(extra="forbid")

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[dict[str, Any]]
    name: str | None = None


class ModelRequest(BaseModel):
    """Fields that chat and text completions have in common.

    Notes
    -----
    Fields that control the engine (priority, adapter) are set by this
    instance; requests that contain them, or any other unlisted field, are
    refused.
    """

    model_config = ConfigDict(extra="forbid")

    model: Annotated[str, Field(min_length=1, max_length=128)]
    stream: bool = False
    stream_options: dict[str, bool] | None = None
    max_tokens: OutputTokens | None = None
    max_completion_tokens: OutputTokens | None = None
    temperature: Annotated[float, Field(ge=0.0, le=2.0)] | None = None
    top_p: Annotated[float, Field(gt=0.0, le=1.0)] | None = None
    n: Literal[1] | None = None
    stop: str | list[str] | None = None
    seed: int | None = None
    presence_penalty: Annotated[float, Field(ge=-2.0, le=2.0)] | None = None
    frequency_penalty: Annotated[float, Field(ge=-2.0, le=2.0)] | None = None
    response_format: dict[str, Any] | None = None
    user: str | None = None
    metadata: dict[str, str] | None = None
    store: bool | None = None


class ChatRequest(ModelRequest):
    """Body of ``/v1/chat/completions``."""

    messages: Annotated[list[Message], Field(min_length=1, max_length=MAX_MESSAGES)]


class CompletionRequest(ModelRequest):
    """Body of ``/v1/completions``."""

    prompt: Annotated[str, Field(min_length=1)]


SCHEMAS = {
    "/v1/chat/completions": ChatRequest,
    "/v1/completions": CompletionRequest,
}


@dataclass(frozen=True, kw_only=True)
class InvalidContent:
    """Validation errors of a body.

    Parameters
    ----------
    message : str
        All errors, each with the field and the allowed values.
    """

    message: str


def parse_content(*, path, body):
    """Validate and parse the body of a model request.

    Parameters
    ----------
    path : str
        Path of the request, one of `SCHEMAS`.
    body : bytes
        The body.

    Returns
    -------
    dict or InvalidContent
        The fields that the caller set, or the validation errors.
    """
    try:
        content = SCHEMAS[path].model_validate_json(body)
    except pydantic.ValidationError as error:
        return InvalidContent(
            message="; ".join(_describe_error(item) for item in error.errors())
        )
    return content.model_dump(exclude_unset=True)


def _describe_error(detail):
    where = ".".join(str(part) for part in detail["loc"]) or "body"
    return f"{where}: {detail['msg']}"
