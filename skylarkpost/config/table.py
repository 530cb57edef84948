"""Compact table of the items of one kind."""

import struct
from typing import NamedTuple

import msgspec

from skylarkpost.config.kinds import KINDS

__all__ = ["Entry", "ItemTable"]

HEADER = struct.Struct(">QQQ")


class Entry(NamedTuple):
    """State of one item.

    Attributes
    ----------
    version : int
        One more than the offset of the change that set its current content.
    stated : int
        `as_of` of the newest restatement, or offset of the change that created
        the item. A reader that starts later cannot know the item or evaluate
        changes of it.
    mentioned : int
        Offset of the last record about it other than a restated tombstone.
    item : NamedTuple or None
        The item; None for a tombstone.
    """

    version: int
    stated: int
    mentioned: int
    item: tuple | None


class ItemTable:
    """Entries of one kind, by name.

    Each entry is stored as one byte string, since there may be tens of thousands;
    items are decoded on access.

    Parameters
    ----------
    kind : str
        A registered kind.

    Attributes
    ----------
    packed : dict of str to bytes
        Entries in their stored and transmitted form, by name.
    """

    def __init__(self, *, kind):
        self.kind = kind
        self.definition = KINDS[kind]
        self.packed = {}

    def __len__(self):
        return len(self.packed)

    def __contains__(self, name):
        return name in self.packed

    def names(self):
        """Return the names of all entries, tombstones included, as a list."""
        return list(self.packed)

    def get(self, name):
        """Return the entry of an item, or None."""
        packed = self.packed.get(name)
        if packed is None:
            return None
        version, stated, mentioned = HEADER.unpack_from(packed)
        values = self.definition.decoder.decode(memoryview(packed)[HEADER.size :])
        item = (
            None if values is None else self.definition.restore(name, version, values)
        )
        return Entry(version, stated, mentioned, item)

    def items_with(self, text):
        """Yield each item that may contain a text, without tombstones.

        Parameters
        ----------
        text : str
            All items that contain it are yielded, and possibly some others.
        """
        encoded = text.encode()
        for name in self.names():
            if encoded in self.packed[name]:
                item = self.get(name).item
                if item is not None:
                    yield item

    def header(self, name):
        """Return version, stated and mentioned offset of a known item."""
        return HEADER.unpack_from(self.packed[name])

    def put(self, name, entry):
        """Store an entry."""
        values = None
        if entry.item is not None:
            values = entry.item[1 : 1 + len(self.definition.fields)]
        header = HEADER.pack(entry.version, entry.stated, entry.mentioned)
        self.packed[name] = header + msgspec.msgpack.encode(values)

    def raise_offsets(self, name, *, stated, mentioned):
        """Raise the offsets of a known item without changing its content."""
        packed = self.packed[name]
        version, old_stated, old_mentioned = HEADER.unpack_from(packed)
        header = HEADER.pack(
            version, max(stated, old_stated), max(mentioned, old_mentioned)
        )
        self.packed[name] = header + packed[HEADER.size :]

    def remove(self, name):
        """Remove an entry."""
        del self.packed[name]
