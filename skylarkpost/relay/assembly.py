"""Assembly of a streamed answer for callers that did not request streaming."""

import json

__all__ = ["assemble_answer", "count_generated"]

CHUNK_SUFFIX = ".chunk"


def assemble_answer(events):
    """Combine the events of a stream into one response.

    Parameters
    ----------
    events : list of bytes
        All events of a chat or text completion, with or without ``[DONE]``.

    Returns
    -------
    dict
        The response that an engine sends when streaming is off.
    """
    chunks = [json.loads(data) for data in events if data != b"[DONE]"]
    assert chunks, "an answer has at least one event"
    answer = {k: chunks[0][k] for k in ("id", "created", "model") if k in chunks[0]}
    object_type = chunks[0].get("object", "chat.completion.chunk")
    answer["object"] = object_type.removesuffix(CHUNK_SUFFIX)
    answer["choices"] = [_assemble_choice(chunks)]
    usage = next((c["usage"] for c in reversed(chunks) if c.get("usage")), None)
    if usage is not None:
        answer["usage"] = usage
    return answer


def count_generated(events):
    """Count the generated tokens from the events received.

    Parameters
    ----------
    events : list of bytes
        The events received; later ones may be missing.

    Returns
    -------
    int
        The engine's usage count if it was received, else the number of events.
    """
    for data in reversed(events[-3:]):
        if data != b"[DONE]":
            usage = json.loads(data).get("usage")
            if usage:
                return usage["completion_tokens"]
    return len(events)


def _assemble_choice(chunks):
    choices = [choice for chunk in chunks for choice in chunk.get("choices", [])]
    finish = next((c["finish_reason"] for c in choices if c.get("finish_reason")), None)
    if choices and "text" in choices[0]:
        text = "".join(c.get("text") or "" for c in choices)
        return {"index": 0, "text": text, "finish_reason": finish}
    text = "".join(c.get("delta", {}).get("content") or "" for c in choices)
    message = {"role": "assistant", "content": text}
    return {"index": 0, "message": message, "finish_reason": finish}
