"""Identifies the shared first part of prompts."""

import hashlib

__all__ = ["preamble_hash"]

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
