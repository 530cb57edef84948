"""Puts a streamed answer together for callers who did not ask for a stream."""

import json

__all__ = ["assemble_answer", "count_generated"]

CHUNK_SUFFIX = ".chunk"


def assemble_answer(events):
    """Return one response from the events of a stream.

    Parameters
    ----------
    events : list of bytes
        All events of a chat or plain completion, with or without ``[DONE]``.

    Returns
    -------
    dict
        The response as an engine would give it without streaming.
    """
    chunks = [json.loads(data) for data in events if data != b"[DONE]"]
    assert chunks, "an answer has at least one event"
    answer = {k: chunks[0][k] for k in ("id", "created", "model") if k in chunks[0]}
    kind = chunks[0].get("object", "chat.completion.chunk")
    answer["object"] = kind.removesuffix(CHUNK_SUFFIX)
    answer["choices"] = [_assemble_choice(chunks)]
    usage = next((c["usage"] for c in reversed(chunks) if c.get("usage")), None)
    if usage is not None:
        answer["usage"] = usage
    return answer


def count_generated(events):
    """Return how many tokens were generated, as far as the events tell.

    Parameters
    ----------
    events : list of bytes
        The events that came, perhaps not all.

    Returns
    -------
    int
        The engine's own count if it came, else one for each event.
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
