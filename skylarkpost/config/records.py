"""Records of the ``config`` stream and their validation."""

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec
from msgspec import Meta

from skylarkpost.config.kinds import KINDS, check_body

__all__ = [
    "ChangeRecord",
    "RecordError",
    "RestatementRecord",
    "StatedItem",
    "parse_change",
    "parse_restatement",
]

DEFAULT_VALID_FOR_S = 30.0
MAX_VALID_FOR_S = 300.0

Offset = Annotated[int, Meta(ge=0, le=2**62)]
Text = Annotated[str, Meta(max_length=1000)]
Id = Annotated[str, Meta(min_length=1, max_length=64)]
ItemName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")]


class ChangeRecord(TypedDict):
    """A change requested by an operator.

    Attributes
    ----------
    type : str
        ``"change"``.
    change_id : str
        Unique id; a copy with the same id is applied once.
    author, reason : str
        Author and reason of the change, for the audit trail.
    kind, name : str
        The item.
    expected_version : int or None
        Version that the item must have; 0 if it must not exist; None for any.
    body : dict or None
        The new content; None removes the item (withdraws the key).
    made_at : float
        Wall-clock seconds at which the change was first published.
    valid_for : float
        Seconds before and after `made_at` within which the log must append it.
    """

    type: Literal["change"]
    change_id: Id
    author: Annotated[str, Meta(min_length=1, max_length=200)]
    reason: Text
    kind: str
    name: ItemName
    expected_version: Offset | None
    body: dict | None
    made_at: float
    valid_for: NotRequired[Annotated[float, Meta(gt=0.0, le=MAX_VALID_FOR_S)]]


class StatedItem(TypedDict):
    """State of one item in a restatement.

    Attributes
    ----------
    kind, name : str
        The item.
    version : int
        Version that its last change gave it.
    body : dict or None
        Its content; None for a tombstone.
    """

    kind: str
    name: ItemName
    version: Annotated[int, Meta(ge=1, le=2**62)]
    body: dict | None


class RestatementRecord(TypedDict):
    """Items that are written again, so that they stay on the log.

    Attributes
    ----------
    type : str
        ``"restatement"``.
    as_of : int
        The items have the stated content after all records before this offset.
    items : list of StatedItem
        Any number of items.
    writer : str
        Instance that wrote the record.
    """

    type: Literal["restatement"]
    as_of: Offset
    items: list[StatedItem]
    writer: str


class RecordError(ValueError):
    """An invalid record; no instance applies it."""


def parse_change(record):
    """Check a change record.

    Parameters
    ----------
    record : object
        As read from the log.

    Returns
    -------
    ChangeRecord
        With all optional fields filled in.

    Raises
    ------
    RecordError
        If it is not a valid change.
    """
    change = _convert(record, ChangeRecord)
    _check_item(change)
    change.setdefault("valid_for", DEFAULT_VALID_FOR_S)
    return change


def parse_restatement(record):
    """Check a restatement record.

    Parameters
    ----------
    record : object
        As read from the log.

    Returns
    -------
    RestatementRecord

    Raises
    ------
    RecordError
        If it is not a valid restatement.
    """
    restatement = _convert(record, RestatementRecord)
    for item in restatement["items"]:
        _check_item(item)
        if item["version"] > restatement["as_of"]:
            raise RecordError("a version is newer than the offset it is stated for")
    return restatement


def _convert(record, record_type):
    try:
        return msgspec.convert(record, record_type)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error


def _check_item(item):
    if item["kind"] not in KINDS:
        raise RecordError(f"unknown kind {item['kind']!r}")
    if item["body"] is None:
        return
    try:
        item["body"] = check_body(item["kind"], item["body"])
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error
