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
        Creation time of the key, in wall-clock seconds.
    fingerprint : str
        Hash of the request.
    life : float
        Seconds after the record by which the request has ended.
    """

    type: str
    key: str
    claim: str
    made_at: float
    fingerprint: str
    life: float


class EndRecord(TypedDict, total=False):
    """The end of a claimed request.

    Attributes
    ----------
    type : str
        ``claim-answered``; ``claim-released`` if it certainly was not run;
        ``claim-unknown`` if it may have run.
    key, claim : str
        Key hash and id of the claim.
    status : int
        HTTP status of an answer.
    headers : dict of str to str
        Headers of the answer.
    body : str or None
        Body of the answer, one character per byte; None if too large to keep.
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
    """Return the fields of a record that hold an answer.

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
    """Return the answer stored in a record.

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
