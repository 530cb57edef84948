"""Load generator with a fixed number of requests and a time limit."""

import asyncio
import json
import time
from typing import NamedTuple

import aiohttp

__all__ = ["Load", "LoadResult", "run_load"]

REQUEST_TIMEOUT_S = 20.0


class Load(NamedTuple):
    """Parameters of a load.

    Attributes
    ----------
    url : str
        URL of the chat completions endpoint.
    model : str
        Name of a profile, or adapter and version.
    headers : dict of str to str
        Headers of each request.
    requests, concurrency : int
        Number of requests, and maximum number of concurrent ones.
    prompt : str
        Prompt text.
    max_tokens : int
        Maximum tokens of each answer.
    """

    url: str
    model: str
    headers: dict
    requests: int
    concurrency: int
    prompt: str
    max_tokens: int


class LoadResult(NamedTuple):
    """Results of a load.

    Attributes
    ----------
    answered, failed : int
        Requests with and without a complete answer.
    first_token_s, token_s : list of float
        Seconds to the first token, and seconds per token after it, of each
        answered request.
    tokens : int
        Tokens received.
    """

    answered: int
    failed: int
    first_token_s: list
    token_s: list
    tokens: int


async def run_load(load, *, limit_s):
    """Send the requests; unfinished ones count as failed at the time limit.

    Parameters
    ----------
    load : Load
        Parameters of the load.
    limit_s : float
        Time limit, in seconds.

    Returns
    -------
    LoadResult
    """
    slots = asyncio.Semaphore(load.concurrency)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        tasks = [
            asyncio.create_task(_send(http, load, number, slots))
            for number in range(load.requests)
        ]
        done, pending = await asyncio.wait(tasks, timeout=limit_s)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
    results = [task.result() for task in done]
    answered = [result for result in results if result is not None]
    return LoadResult(
        answered=len(answered),
        failed=load.requests - len(answered),
        first_token_s=[first for first, _, _ in answered],
        token_s=[seconds_per_token for _, seconds_per_token, _ in answered],
        tokens=sum(tokens for _, _, tokens in answered),
    )


async def _send(http, load, number, slots):
    """Return the times and tokens of one request; None if it failed."""
    content = {
        "model": load.model,
        "messages": [{"role": "user", "content": f"{load.prompt} {number}"}],
        "stream": True,
        "max_tokens": load.max_tokens,
    }
    headers = {**load.headers, "X-Request-Id": f"load-{time.time_ns()}-{number}.1"}
    async with slots:
        started_at = time.monotonic()
        try:
            async with http.post(load.url, json=content, headers=headers) as response:
                return await _read(response, started_at)
        except (aiohttp.ClientError, TimeoutError):
            return None


async def _read(response, started_at):
    first_token_at, tokens, is_whole = None, 0, False
    async for line in response.content:
        if line.startswith(b"data: [DONE]"):
            is_whole = True
        elif line.startswith(b"data: ") and _has_text(line):
            tokens += 1
            first_token_at = first_token_at or time.monotonic()
    if response.status != 200 or not is_whole or tokens < 2:
        return None
    seconds_per_token = (time.monotonic() - first_token_at) / (tokens - 1)
    return first_token_at - started_at, seconds_per_token, tokens


def _has_text(line):
    choices = json.loads(line[len(b"data: ") :]).get("choices", [])
    return any(choice.get("delta", {}).get("content") for choice in choices)
