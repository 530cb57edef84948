"""Deterministic answers and prompt hashes of the stand-in engines."""

import hashlib

__all__ = [
    "BLOCK_CHARACTERS",
    "CHARACTERS_PER_TOKEN",
    "answer_tokens",
    "count_prompt_tokens",
    "prefix_hashes",
    "prompt_text",
]

BLOCK_CHARACTERS = 512
CHARACTERS_PER_TOKEN = 4
HASH_CHARACTERS = 16
MIN_ANSWER_TOKENS = 8
LENGTH_SPREAD_TOKENS = 57


def answer_tokens(lora_name, prompt, seed, max_tokens):
    """Return the deterministic answer to a prompt as tokens.

    Parameters
    ----------
    lora_name : str
        Adapter and version that answer, ``A@V``, or the base model.
    prompt : str
        As `prompt_text` returns it.
    seed : int or None
        Seed of the request.
    max_tokens : int
        Maximum length of the answer.

    Returns
    -------
    list of str
        Tokens; the first one is ``[lora_name]``.

    Examples
    --------
    >>> answer_tokens("a@1", "hello", 7, 1)
    ['[a@1]']
    """
    source = f"{lora_name}\n{prompt}\n{seed}".encode()
    digest = hashlib.sha256(source)
    length = MIN_ANSWER_TOKENS + digest.digest()[0] % LENGTH_SPREAD_TOKENS
    tokens = [f"[{lora_name}]"]
    for index in range(1, min(length, max_tokens)):
        word = digest.copy()
        word.update(str(index).encode())
        tokens.append(f" {index}:{word.hexdigest()[:4]}")
    return tokens


def prompt_text(content):
    """Return the text of a request's prompt.

    Parameters
    ----------
    content : dict
        Request body of a chat or plain completion.

    Returns
    -------
    str
    """
    if "messages" in content:
        lines = [f"{m['role']}: {_flatten(m['content'])}" for m in content["messages"]]
        return "\n".join(lines)
    return _flatten(content.get("prompt", ""))


def count_prompt_tokens(prompt):
    """Return the number of tokens of a prompt's text."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def prefix_hashes(lora_name, prompt):
    """Return the hash of the prefix ending at each full block, shortest first.

    Parameters
    ----------
    lora_name : str
        Part of the hash, since caches are not shared between adapters.
    prompt : str
        As `prompt_text` returns it.

    Returns
    -------
    list of str
        For each multiple of 512 characters up to the prompt's length, the
        first 16 hexadecimal digits of the SHA-256 of the adapter's name, a line
        feed and that much of the prompt.
    """
    digest = hashlib.sha256(f"{lora_name}\n".encode())
    hashes = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        hashes.append(digest.hexdigest()[:HASH_CHARACTERS])
    return hashes


def _flatten(content):
    if isinstance(content, str):
        return content
    return "".join(p if isinstance(p, str) else p.get("text", "") for p in content)
