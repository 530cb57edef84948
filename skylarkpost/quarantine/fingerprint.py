"""Recognises a request that is sent again."""

import hashlib

import msgspec

__all__ = ["fingerprint_request"]

FINGERPRINT_BYTES = 16
IGNORED_FIELDS = frozenset({"stream", "stream_options", "user", "metadata", "store"})


def fingerprint_request(*, subject, content, body):
    """Return a hash of what a target is asked.

    Parameters
    ----------
    subject : str
        Adapter and version, or route, method, path and query.
    content : dict or None
        The checked body of a model request.
    body : bytes
        The body of a call to a plain service.

    Returns
    -------
    str
        Hexadecimal hash; the same for the same work, whoever sends it and
        whether or not the answer is streamed.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(subject.encode())
    digest.update(b"\0")
    if content is None:
        digest.update(body)
    else:
        kept = {k: v for k, v in content.items() if k not in IGNORED_FIELDS}
        digest.update(msgspec.json.encode(kept, order="sorted"))
    return digest.hexdigest()
