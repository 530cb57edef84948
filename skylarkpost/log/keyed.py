"""Types for keyed topics of a store, where the newest record of a key is valid."""

from typing import NamedTuple

__all__ = [
    "KeyedRecord",
    "KeyedRecords",
    "KeyedSnapshot",
    "PeerRecords",
    "RecordsTrimmed",
    "StoreAppended",
    "StoreConflict",
    "StoreUnavailable",
    "StoreUnknown",
]


class KeyedRecord(NamedTuple):
    """One record of a keyed topic.

    Attributes
    ----------
    key : str
        Key of the record.
    value : bytes
        Value; empty if the key was deleted.
    offset : int
        Offset of the record in the topic.
    """

    key: str
    value: bytes
    offset: int = -1


class KeyedRecords(NamedTuple):
    """Consecutive records of a topic.

    Attributes
    ----------
    records : tuple of KeyedRecord
        The records; may be empty.
    end : int
        End offset of the topic at the time of the answer.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class KeyedSnapshot(NamedTuple):
    """The newest record of each key.

    Attributes
    ----------
    records : tuple of KeyedRecord
        One for each key.
    end : int
        Records from this offset on may be missing.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class PeerRecords(NamedTuple):
    """Records of a topic received from another instance.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Newest record of each changed key; an empty value deletes the key.
    end : int
        Offset up to which the other instance knows the topic.
    age : float
        Seconds between the last moment at which the other instance was up to date
        with the topic and the arrival of the request; negative if that moment is
        later than the request.
    has_all_keys : bool
        Whether each key that is missing in `records` has been deleted.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    age: float
    has_all_keys: bool = False


class RecordsTrimmed(NamedTuple):
    """The requested records have been deleted; a snapshot has to be read.

    Attributes
    ----------
    first : int or None
        Offset of the first record that is left; None if that is not known.
    """

    first: int | None = None


class StoreAppended(NamedTuple):
    """The records were appended.

    Attributes
    ----------
    offset : int
        Offset of the first one.
    end : int
        End offset of the topic after them.
    """

    offset: int
    end: int


class StoreConflict(NamedTuple):
    """Nothing was appended, since the end offset differs from the expected one.

    Attributes
    ----------
    end : int
        Actual end offset of the topic.
    """

    end: int


class StoreUnavailable(NamedTuple):
    """The call failed and had no effect.

    Attributes
    ----------
    detail : str
        What happened.
    """

    detail: str


class StoreUnknown(NamedTuple):
    """The call may have taken effect, or may still do so within seconds.

    Attributes
    ----------
    detail : str
        What happened.
    """

    detail: str
