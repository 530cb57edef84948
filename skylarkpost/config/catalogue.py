"""Items of all kinds, with lookups and subscriptions."""

from typing import NamedTuple

from skylarkpost.config.items import Key
from skylarkpost.config.kinds import KINDS, build_item
from skylarkpost.config.table import Entry, ItemTable

__all__ = ["ItemCatalogue", "ItemChange"]


class ItemChange(NamedTuple):
    """A change of one item, as passed to subscribers.

    Attributes
    ----------
    kind, name : str
        The item.
    version : int
        Its new version.
    item : NamedTuple or None
        Its new value; None if it was removed.
    previous : NamedTuple or None
        Its previous value, if any.
    """

    kind: str
    name: str
    version: int
    item: tuple | None
    previous: tuple | None


class ItemCatalogue:
    """Stores items and notifies subscribers of changes.

    Attributes
    ----------
    tables : dict of str to ItemTable
        Entries by kind.
    """

    def __init__(self):
        self.tables = {kind: ItemTable(kind=kind) for kind in KINDS}
        self._subscribers = {kind: [] for kind in KINDS}

    def subscribe(self, kind, callback):
        """Register a callback for changes of items of one kind.

        Parameters
        ----------
        kind : str
            A registered kind.
        callback : callable
            Called with the `ItemChange` and the current time.
        """
        self._subscribers[kind].append(callback)

    def profile(self, name):
        """Return a profile, or None."""
        return self.item("profile", name)

    def key(self, key_hash):
        """Return a key, also a withdrawn one that is still remembered, or None."""
        entry = self.tables["key"].get(key_hash)
        if entry is not None and entry.item is None:
            return Key(key_hash=key_hash, team="", label="", withdrawn=True)
        return None if entry is None else entry.item

    def team(self, name):
        """Return a team, or None."""
        return self.item("team", name)

    def route(self, name):
        """Return a route, or None."""
        return self.item("route", name)

    def target(self, name):
        """Return a target, or None."""
        return self.item("target", name)

    def item(self, kind, name):
        """Return the item of a kind and name, or None."""
        entry = self.tables[kind].get(name)
        return None if entry is None else entry.item

    def items(self, kind):
        """Yield each item of a kind, without tombstones."""
        table = self.tables[kind]
        for name in table.names():
            item = self.item(kind, name)
            if item is not None:
                yield item

    def version(self, kind, name):
        """Return the version of an item; 0 if there is none."""
        entry = self.tables[kind].get(name)
        return 0 if entry is None or entry.item is None else entry.version

    def _put(self, kind, name, version, stated, mentioned, body, now):
        table = self.tables[kind]
        before = table.get(name)
        assert before is None or before.version < version, "a version decreased"
        item = None if body is None else build_item(kind, name, version, body)
        table.put(name, Entry(version, stated, mentioned, item))
        previous = None if before is None else before.item
        self._notify(ItemChange(kind, name, version, item, previous), now)

    def _notify_differences(self, kind, before, now):
        after = self.tables[kind]
        for name in after.names():
            if name not in before or after.header(name)[0] != before.header(name)[0]:
                entry = after.get(name)
                old = before.get(name)
                previous = None if old is None else old.item
                change = ItemChange(kind, name, entry.version, entry.item, previous)
                self._notify(change, now)
        for name in before.names():
            previous = before.get(name)
            if name not in after and previous.item is not None:
                change = ItemChange(kind, name, previous.version, None, previous.item)
                self._notify(change, now)

    def _notify(self, change, now):
        for callback in self._subscribers[change.kind]:
            callback(change, now)
