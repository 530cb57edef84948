"""Records of the ``claims`` stream."""

from typing import TypedDict

from skylarkpost.filters import Answer

__all__ = ["ClaimRecord", "EndRecord", "is_well_formed", "pack_answer", "unpack_answer"]

CLAIM = "claim"
ENDS = ("claim-answered", "claim-released", "claim-unknown")
ENCODING = "latin-1"


class ClaimRecord(TypedDict):
    """A claim on a key.

    Attributes
    ----------
    type : str
        ``claim``.
    key : str
        Hash of the key, its team and route.
    claim : str
        Id of the claim.
    made_at : float
        When the key was made, in wall-clock seconds.
    fingerprint : str
        Hash of the request.
    life : float
        Seconds after the record within which the request has ended.
    """

    type: str
    key: str
    claim: str
    made_at: float
    fingerprint: str
    life: float


class EndRecord(TypedDict, total=False):
    """How a claimed request ended.

    Attributes
    ----------
    type : str
        ``claim-answered``; ``claim-released`` if it certainly was not sent;
        ``claim-unknown`` if it may have run.
    key, claim : str
        The claim that ended.
    status : int
        HTTP status of an answer.
    headers : dict of str to str
        Its headers.
    body : str or None
        Its body, one character a byte; None if it was too large to keep.
    """

    type: str
    key: str
    claim: str
    status: int
    headers: dict
    body: str | None


def is_well_formed(record):
    """Return whether a record of this stream can be applied.

    Parameters
    ----------
    record : dict
        As read from the log.

    Returns
    -------
    bool
    """
    if not all(isinstance(record.get(word), str) for word in ("key", "claim")):
        return False
    if record["type"] == CLAIM:
        numbers = (record.get("made_at"), record.get("life"))
        is_numeric = all(isinstance(number, int | float) for number in numbers)
        return is_numeric and isinstance(record.get("fingerprint"), str)
    return record["type"] != "claim-answered" or isinstance(record.get("status"), int)


def pack_answer(answer):
    """Return the part of a record that holds an answer.

    Parameters
    ----------
    answer : skylarkpost.filters.Answer
        The answer.

    Returns
    -------
    dict
    """
    body = None if answer.body is None else answer.body.decode(ENCODING)
    return {"status": answer.status, "headers": dict(answer.headers), "body": body}


def unpack_answer(record):
    """Return the answer that a record holds.

    Parameters
    ----------
    record : EndRecord
        Of type ``claim-answered``.

    Returns
    -------
    skylarkpost.filters.Answer
    """
    body = record.get("body")
    encoded = None if body is None else body.encode(ENCODING)
    return Answer(record["status"], record.get("headers", {}), encoded)
