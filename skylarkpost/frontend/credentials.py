"""Extraction of the caller's key, so that it is never stored or forwarded."""

import json
import re
import urllib.parse
from typing import NamedTuple

from skylarkpost.config.keys import hash_key

__all__ = ["Credentials", "contains_key", "extract_credentials"]

KEY_PATTERN = re.compile(rb"skp_[A-Za-z0-9_-]{20,}")
KEY_HEADERS = ("x-api-key", "api-key")
MAX_DECODINGS = 3

FORWARDED_HEADERS = frozenset(
    {
        "accept",
        "accept-language",
        "content-encoding",
        "content-type",
        "idempotency-key",
        "if-match",
        "if-none-match",
        "user-agent",
    }
)


class Credentials(NamedTuple):
    """Hash of the key of a request, and the headers to forward.

    Attributes
    ----------
    key_hash : str or None
        SHA-256 of the key in hexadecimal; None if the request has no key.
    headers : dict of str to str
        The headers that may be forwarded to a target.
    """

    key_hash: str | None
    headers: dict[str, str]


def extract_credentials(headers):
    """Separate the key of a request from the headers that may be forwarded.

    Parameters
    ----------
    headers : mapping of str to str
        All headers, by lower-case name.

    Returns
    -------
    Credentials
        Hash of the key and the headers for the target.

    Notes
    -----
    The key is accepted as ``Authorization: Bearer``, ``X-Api-Key`` and
    ``Api-Key``, the forms that clients of engines send. Only headers on a
    fixed list are forwarded, none of which carries credentials.
    """
    key = _extract_key(headers)
    forwarded = {
        name: value for name, value in headers.items() if name in FORWARDED_HEADERS
    }
    return Credentials(hash_key(key) if key else None, forwarded)


def contains_key(*, path, query, headers, body):
    """Return whether the content to forward contains a key.

    Parameters
    ----------
    path, query : str
        Path and query of the request.
    headers : dict of str to str
        The headers that would be forwarded.
    body : bytes
        The body that would be forwarded.

    Returns
    -------
    bool
        True if it contains a key in plain, percent-encoded or JSON-escaped form.
    """
    texts = [path, query, *headers.values()]
    if any(_matches_key(text.encode()) for text in texts):
        return True
    return _matches_key(body) or _matches_escaped_key(body)


def _extract_key(headers):
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer" and token.strip():
        return token.strip()
    for name in KEY_HEADERS:
        if headers.get(name, "").strip():
            return headers[name].strip()
    return None


def _matches_key(data):
    for _ in range(MAX_DECODINGS):
        if KEY_PATTERN.search(data):
            return True
        if b"%" not in data:
            return False
        decoded = urllib.parse.unquote_to_bytes(data)
        if decoded == data:
            return False
        data = decoded
    return KEY_PATTERN.search(data) is not None


def _matches_escaped_key(body):
    if b"\\" not in body:
        return False
    try:
        text = json.dumps(json.loads(body), ensure_ascii=False)
    except (ValueError, RecursionError):
        return False
    return _matches_key(text.encode("utf-8", "surrogatepass"))
