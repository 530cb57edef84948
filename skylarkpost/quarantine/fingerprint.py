"""Fingerprints that identify repeated requests."""

import hashlib

import msgspec

__all__ = ["fingerprint_request"]

FINGERPRINT_BYTES = 16
IGNORED_FIELDS = frozenset({"stream", "stream_options", "user", "metadata", "store"})


def fingerprint_request(*, subject, content, body):
    """Return a hash of the work that a request asks of a target.

    Parameters
    ----------
    subject : str
        Adapter and version, or route, method, path and query.
    content : dict or None
        Validated body of a model request.
    body : bytes
        Body of a call to a plain service.

    Returns
    -------
    str
        Hexadecimal hash. It is independent of the caller and of whether the
        answer is streamed.
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
