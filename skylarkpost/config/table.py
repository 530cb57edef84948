"""Items of one kind in a compact form."""

import struct
from typing import NamedTuple

import msgspec

from skylarkpost.config.kinds import KINDS

__all__ = ["Entry", "ItemTable"]

HEADER = struct.Struct(">QQQ")


class Entry(NamedTuple):
    """What is known about one item.

    Attributes
    ----------
    version : int
        One more than the offset of the change that made it what it is.
    stated : int
        Offset that the newest restatement holds for, or that of the change
        which made the item first. A reader that starts later can't know the
        item, nor judge changes of it.
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
    """The entries of one kind by name.

    Each entry is kept as one byte string, since there may be tens of
    thousands; items are built when they are asked for.

    Parameters
    ----------
    kind : str
        A registered kind.

    Attributes
    ----------
    packed : dict of str to bytes
        The entries as they are kept and sent, by name.
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
        """Yield each item that may hold a text, without tombstones.

        Parameters
        ----------
        text : str
            All items that hold it are yielded, and perhaps some others.
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
        """Keep an entry."""
        values = None
        if entry.item is not None:
            values = entry.item[1 : 1 + len(self.definition.fields)]
        header = HEADER.pack(entry.version, entry.stated, entry.mentioned)
        self.packed[name] = header + msgspec.msgpack.encode(values)

    def touch(self, name, *, stated, mentioned):
        """Raise the offsets of a known item; its content stays."""
        packed = self.packed[name]
        version, old_stated, old_mentioned = HEADER.unpack_from(packed)
        header = HEADER.pack(
            version, max(stated, old_stated), max(mentioned, old_mentioned)
        )
        self.packed[name] = header + packed[HEADER.size :]

    def remove(self, name):
        """Forget an item."""
        del self.packed[name]
