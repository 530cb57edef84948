"""Format and hash of callers' keys."""

import hashlib
import secrets

__all__ = ["hash_key", "make_key"]

KEY_PREFIX = "skp_"
KEY_BYTES = 32


def make_key():
    """Return a new key.

    Returns
    -------
    str
        A prefix and `KEY_BYTES` random bytes in URL-safe base64.
    """
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key):
    """Return the hash under which a key is published.

    Parameters
    ----------
    key : str
        The key as callers send it.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key.encode()).hexdigest()
