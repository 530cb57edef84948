"""Keyed topics of a store: the newest record of each key counts."""

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
        What it is about.
    value : bytes
        Empty if the key is dropped.
    offset : int
        Its place in the topic.
    """

    key: str
    value: bytes
    offset: int = -1


class KeyedRecords(NamedTuple):
    """Records that were read in order.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Possibly none.
    end : int
        End of the topic at the time of the answer.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class KeyedSnapshot(NamedTuple):
    """The newest record of each key.

    Attributes
    ----------
    records : tuple of KeyedRecord
        One a key.
    end : int
        Records from this offset on may be missing.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class PeerRecords(NamedTuple):
    """What another instance knows of a topic.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Newest record of each key that has changed; an empty value drops it.
    end : int
        The topic is known up to here.
    age : float
        Seconds from the moment for which the topic was known to hold nothing more
        until the question arrived; negative if it was asked before.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    age: float


class RecordsTrimmed(NamedTuple):
    """Records that were wanted have been deleted; a snapshot tells the rest."""


class StoreAppended(NamedTuple):
    """The records are in the store.

    Attributes
    ----------
    offset : int
        Of the first one.
    end : int
        End of the topic after them.
    """

    offset: int
    end: int


class StoreConflict(NamedTuple):
    """Nothing was appended, since the topic ends elsewhere.

    Attributes
    ----------
    end : int
        Where it ends.
    """

    end: int


class StoreUnavailable(NamedTuple):
    """Nothing was done.

    Attributes
    ----------
    detail : str
        What happened.
    """

    detail: str


class StoreUnknown(NamedTuple):
    """The call may have been carried out, or may be in some seconds.

    Attributes
    ----------
    detail : str
        What happened.
    """

    detail: str
