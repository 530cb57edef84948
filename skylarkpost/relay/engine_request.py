"""Request bodies for engines."""

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
        Adapter and version that must serve the request.

    Returns
    -------
    bytes
        JSON. Streaming is always on, so that a silent connection is detected,
        and a seed is always set, so that a repeated attempt can generate the
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
