"""Encoding of a whole store as bytes, for peers that start without state."""

import msgspec

from skylarkpost.config.kinds import KINDS
from skylarkpost.config.store import ConfigStore
from skylarkpost.decoding import Malformed, decode_msgpack

__all__ = ["decode_snapshot", "encode_snapshot"]


class SnapshotOnWire(msgspec.Struct, array_like=True):
    """Wire format of a snapshot.

    Attributes
    ----------
    applied_offset, floor : int
        Offsets of the store.
    entries : dict
        Packed entries by name, by kind.
    change_ids : dict
        Stored verdicts, by digest of the change id.
    marks : list
        Log times and offsets of `OffsetTimes`.
    """

    applied_offset: int
    floor: int
    entries: dict[str, dict[str, bytes]]
    change_ids: dict[bytes, tuple[float, bool | None, int, int]]
    marks: list[tuple[float, int]]


def encode_snapshot(store):
    """Encode the state of a store.

    Parameters
    ----------
    store : ConfigStore
        A complete store.

    Returns
    -------
    bytes
    """
    assert store.complete, "an incomplete store must not be sent to peers"
    snapshot = SnapshotOnWire(
        applied_offset=store.applied_offset,
        floor=store.floor,
        entries={kind: table.packed for kind, table in store.tables.items()},
        change_ids=store.change_ids.verdicts,
        marks=list(store.times.marks),
    )
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data):
    """Decode a store from a snapshot.

    Parameters
    ----------
    data : bytes
        Result of `encode_snapshot`.

    Returns
    -------
    ConfigStore or None
        None if the data is not a snapshot.
    """
    snapshot = decode_msgpack(data, SnapshotOnWire)
    if isinstance(snapshot, Malformed):
        return None
    store = ConfigStore()
    store.applied_offset = snapshot.applied_offset
    store.floor = snapshot.floor
    store.change_ids.verdicts = snapshot.change_ids
    for time, offset in snapshot.marks:
        store.times.note(time=time, offset=offset)
    for kind in KINDS:
        for name, packed in snapshot.entries.get(kind, {}).items():
            store.tables[kind].packed[name] = packed
    return store
