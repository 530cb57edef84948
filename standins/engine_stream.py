"""Answers of the stand-in engine, streamed as server-sent events or sent whole."""

import asyncio
import json
import time

from starlette.responses import JSONResponse

from standins.common import abort

__all__ = ["send_whole_answer", "stream_events"]

KEEPALIVE_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.005
DONE = "[DONE]"


async def stream_events(engine, request, stream, *, after):
    """Yield the server-sent events of a stream.

    Parameters
    ----------
    engine : standins.engine.EngineStandIn
        The engine.
    request : starlette.requests.Request
        Request whose connection carries the events.
    stream : standins.engine_model.Stream
        Stream to send.
    after : int
        Id of the last event that the caller has received.

    Yields
    ------
    str
    """
    stream.attachment += 1
    attachment = stream.attachment
    stream.detached_at = None
    sent = after
    last_sent_at = time.monotonic()
    try:
        yield ": alive\n\n"
        while attachment == stream.attachment and stream.state != "cancelled":
            silent = engine.is_silent(request.scope)
            now = time.monotonic()
            if not silent and sent < len(stream.events):
                sent += 1
                last_sent_at = now
                yield _event(sent, _chunk(stream, sent))
            elif not silent and stream.state == "done":
                yield _event(len(stream.events) + 1, DONE)
                return
            elif not silent and now - last_sent_at >= KEEPALIVE_INTERVAL_S:
                last_sent_at = now
                yield ": alive\n\n"
            else:
                await asyncio.sleep(POLL_INTERVAL_S)
    finally:
        if attachment == stream.attachment:
            stream.detached_at = time.monotonic()


async def send_whole_answer(engine, request, stream):
    """Wait until a stream is complete and return its answer.

    Parameters
    ----------
    engine : standins.engine.EngineStandIn
        The engine.
    request : starlette.requests.Request
        The request.
    stream : standins.engine_model.Stream
        Stream to wait for.

    Returns
    -------
    starlette.responses.Response
    """
    attachment = stream.attachment
    model = engine.model
    while stream.active or engine.is_silent(request.scope):
        if stream.attachment == attachment and request.scope["transport"].is_closing():
            stream.detached_at = stream.detached_at or time.monotonic()
        if model is not engine.model or request.scope["transport"].is_closing():
            return abort(request)
        await asyncio.sleep(POLL_INTERVAL_S)
    if stream.state == "cancelled":
        return abort(request)
    text = "".join(stream.events)
    finish = _finish_reason(stream)
    if stream.is_chat:
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish}
    else:
        choice = {"index": 0, "text": text, "finish_reason": finish}
    answer = {
        "id": stream.request_id,
        "object": "chat.completion" if stream.is_chat else "text_completion",
        "model": stream.lora_name,
        "choices": [choice],
        "usage": _usage(stream),
    }
    return JSONResponse(answer, headers={"X-Target-Boot": model.boot})


def _chunk(stream, number):
    token = stream.events[number - 1]
    last = number == len(stream.tokens)
    finish = _finish_reason(stream) if last else None
    if stream.is_chat:
        delta = {"content": token}
        if number == 1:
            delta["role"] = "assistant"
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
    else:
        choice = {"index": 0, "text": token, "finish_reason": finish}
    chunk = {
        "id": stream.request_id,
        "object": "chat.completion.chunk" if stream.is_chat else "text_completion",
        "model": stream.lora_name,
        "choices": [choice],
    }
    if last:
        chunk["usage"] = _usage(stream)
    return json.dumps(chunk, separators=(",", ":"))


def _finish_reason(stream):
    return "length" if len(stream.tokens) == stream.max_tokens else "stop"


def _usage(stream):
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": len(stream.events),
        "total_tokens": stream.prompt_tokens + len(stream.events),
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def _event(number, data):
    return f"id: {number}\ndata: {data}\n\n"
