"""The platform's instance list, merged with newer changes seen by peers."""

import logging
from typing import NamedTuple

import msgspec

from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.eventlog import log_event
from skylarkpost.listing.instance_list import ListedInstance
from skylarkpost.membership.member import TargetState

__all__ = ["TargetListing"]

logger = logging.getLogger(__name__)

CHANGE_RETENTION_S = 60.0
MAX_CHANGES = 500
ROLE_ENTRY = "entry"
ROLE_TARGET = "target"


class Change(NamedTuple):
    """A change of one entry in the platform's list.

    Attributes
    ----------
    as_of : float
        Timestamp of the list with the change, in seconds of the platform's wall
        clock.
    id : str
        Id of the entry.
    entry : ListedInstance or None
        New value; None if the entry was removed.
    """

    as_of: float
    id: str
    entry: ListedInstance | None


class TargetListing:
    """The newest known list; it stays in use while the platform is unavailable.

    Instances exchange recent changes, so that one that cannot reach the platform
    learns from its peers which targets are leaving.

    Attributes
    ----------
    entries : dict of str to ListedInstance
        By id.
    as_of : float or None
        Timestamp of the entries, in seconds of the platform's wall clock.
    changes : dict of str to Change
        Recent changes, by id.
    """

    def __init__(self):
        self.entries = {}
        self.as_of = None
        self.changes = {}

    def apply_list(self, entries, as_of):
        """Apply a list received from the platform.

        Parameters
        ----------
        entries : dict of str to ListedInstance
            By id.
        as_of : float
            Timestamp of the list, in seconds.
        """
        if self.as_of is not None:
            if as_of <= self.as_of:
                return
            self._note_changes(entries, as_of)
        self.entries = dict(entries)
        self.as_of = as_of
        for change in list(self.changes.values()):
            # A peer has already seen a newer list than this one.
            if change.as_of > as_of:
                self._apply(change)

    def apply_changes(self, payload):
        """Apply the recent changes seen by a peer.

        Parameters
        ----------
        payload : bytes
            Result of the peer's `encode_changes`.
        """
        changes = decode_json(payload, list[Change])
        if isinstance(changes, Malformed):
            log_event(logger, "changes-malformed", detail=changes.detail)
            return
        for change in changes:
            known = self.changes.get(change.id)
            known_as_of = known.as_of if known is not None else self.as_of
            if known_as_of is not None and change.as_of <= known_as_of:
                continue
            self._apply(change)

    def encode_changes(self):
        """Return the recent changes, encoded for peers.

        Returns
        -------
        bytes
            JSON, newest first.
        """
        newest = sorted(self.changes.values(), key=lambda c: (-c.as_of, c.id))
        return msgspec.json.encode(newest[:MAX_CHANGES])

    def target_state(self, target_id):
        """Return the state of a target.

        Parameters
        ----------
        target_id : str
            Its id.

        Returns
        -------
        TargetState
            `UNKNOWN` only before the first list.
        """
        entry = self.entries.get(target_id)
        if entry is not None and entry.role == ROLE_TARGET:
            return TargetState(entry.state)
        known = self.as_of is not None or target_id in self.changes
        return TargetState.ABSENT if known else TargetState.UNKNOWN

    def instances(self):
        """Return the entries that are instances of this system.

        Returns
        -------
        list of ListedInstance
        """
        return [e for e in self.entries.values() if e.role == ROLE_ENTRY]

    def _note_changes(self, entries, as_of):
        for entry_id in self.entries.keys() | entries.keys():
            entry = entries.get(entry_id)
            known = self.changes.get(entry_id)
            is_older = known is not None and known.as_of > as_of
            if entry != self.entries.get(entry_id) and not is_older:
                self.changes[entry_id] = Change(as_of, entry_id, entry)
        oldest = as_of - CHANGE_RETENTION_S
        recent = {i: c for i, c in self.changes.items() if c.as_of >= oldest}
        self.changes = recent

    def _apply(self, change):
        self.changes[change.id] = change
        if len(self.changes) > MAX_CHANGES:
            del self.changes[min(self.changes, key=lambda i: self.changes[i].as_of)]
        if change.entry is None:
            self.entries.pop(change.id, None)
        else:
            self.entries[change.id] = change.entry
