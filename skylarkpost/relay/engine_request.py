"""What an engine is sent for a model request."""

import msgspec

__all__ = ["engine_body"]

HIGHEST_URGENCY = 9
SEED_DIGITS = 8
OMITTED_FIELDS = frozenset(
    {"model", "stream", "stream_options", "max_completion_tokens", "user"}
    | {"metadata", "store"}
)


def engine_body(exchange, *, lora_name):
    """Return the body of the request to the engine.

    Parameters
    ----------
    exchange : skylarkpost.filters.Exchange
        The request.
    lora_name : str
        Adapter and version that have to answer.

    Returns
    -------
    bytes
        JSON. The answer is always streamed, so that a silent connection is
        noticed, and always has a seed, so that a repeated attempt can give the
        same answer.
    """
    content = {k: v for k, v in exchange.content.items() if k not in OMITTED_FIELDS}
    content["model"] = lora_name
    content["stream"] = True
    content["stream_options"] = {"include_usage": True}
    content["max_tokens"] = exchange.output_tokens
    content["priority"] = HIGHEST_URGENCY - exchange.profile.urgency
    content.setdefault("seed", int(exchange.request_id[:SEED_DIGITS], 16))
    return msgspec.json.encode(content)
