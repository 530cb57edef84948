"""Hashes of shared prompt prefixes."""

import hashlib

__all__ = ["preamble_hash", "prompt_text"]

PREAMBLE_CHARACTERS = 512


def preamble_hash(prompt):
    """Return a hash of the prefix of a prompt.

    Parameters
    ----------
    prompt : str
        The prompt, or the concatenated messages of a chat.

    Returns
    -------
    int
        Equal for prompts with the same first `PREAMBLE_CHARACTERS` characters.
    """
    first = prompt[:PREAMBLE_CHARACTERS].encode()
    return int.from_bytes(hashlib.blake2b(first, digest_size=8).digest(), "big")


def prompt_text(content):
    """Return the prompt text of a model request.

    Parameters
    ----------
    content : dict
        Decoded request body with ``messages`` or ``prompt``.

    Returns
    -------
    str
        All text parts joined by newlines; other parts are ignored.
    """
    if "messages" in content:
        return "\n".join(_part_text(m.get("content")) for m in content["messages"])
    return _part_text(content.get("prompt"))


def _part_text(part):
    if isinstance(part, str):
        return part
    if isinstance(part, list):
        return "\n".join(_part_text(each) for each in part)
    if isinstance(part, dict):
        return _part_text(part.get("text"))
    return ""
