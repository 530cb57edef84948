"""Identifies the shared first part of prompts."""

import hashlib

__all__ = ["preamble_hash", "prompt_text"]

PREAMBLE_CHARACTERS = 512


def preamble_hash(prompt):
    """Return a hash of the first part of a prompt.

    Parameters
    ----------
    prompt : str
        The prompt, or the messages of a chat joined together.

    Returns
    -------
    int
        The same for prompts that share their first characters.
    """
    first = prompt[:PREAMBLE_CHARACTERS].encode()
    return int.from_bytes(hashlib.blake2b(first, digest_size=8).digest(), "big")


def prompt_text(content):
    """Return the text of a model request's prompt.

    Parameters
    ----------
    content : dict
        The body, with ``messages`` or ``prompt``.

    Returns
    -------
    str
        The texts joined together; parts that are not text are left out.
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
