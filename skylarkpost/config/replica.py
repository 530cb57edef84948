"""Configuration replica of one instance, updated from the log and from peers."""

from skylarkpost.config.recent import RecentRecords, StreamRecord
from skylarkpost.config.store import ConfigStore
from skylarkpost.config.verdicts import Stale

__all__ = ["ConfigReplica"]

RECENT_LIMIT = 2048


class ConfigReplica:
    """The served store, and a second one that is rebuilt after a gap.

    A reader that was disconnected for longer than the log's retention has missed
    records. It keeps serving its store and builds a second one from the records
    that remain. At the end of the log the second store replaces the first; a
    snapshot from a peer without a gap can replace it earlier.

    Attributes
    ----------
    store : ConfigStore
        The store that is served.
    building : ConfigStore or None
        The store being rebuilt after a gap.
    ready : bool
        Whether the configuration has been complete once.
    last_time : float
        Log's wall-clock time of the last record, in seconds.
    """

    def __init__(self):
        self.store = ConfigStore()
        self.building = None
        self.ready = False
        self.recent = RecentRecords(limit=RECENT_LIMIT)
        self.last_time = 0.0

    @property
    def applied_offset(self):
        """Offset of the last record in the served store; never decreases."""
        return self.store.applied_offset

    @property
    def next_offset(self):
        """Offset of the next expected record."""
        return (self.building or self.store).applied_offset + 1

    def receive(self, *, record, offset, time, now):
        """Apply a record from the log or from a peer.

        Parameters
        ----------
        record : dict
            The record.
        offset : int
            Its offset. Records that were already applied are ignored.
        time : float
            Its wall-clock time by the log, in seconds.
        now : float
            Current time, in seconds.

        Returns
        -------
        Verdict
        """
        if offset < self.next_offset:
            return Stale()
        assert offset == self.next_offset, "a record was skipped"
        self.recent.add(StreamRecord(offset, time, record))
        self.last_time = max(self.last_time, time)
        store = self.building or self.store
        return store.apply(record=record, offset=offset, time=time, now=now)

    def note_gap(self, first_offset):
        """Start rebuilding if records before an offset expired unread.

        Parameters
        ----------
        first_offset : int
            Oldest offset that the log keeps.
        """
        if first_offset > self.next_offset:
            self.building = ConfigStore(first_offset=first_offset)

    def note_end(self, *, now):
        """Record that the log has been read to its end.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        if self.building is not None:
            built, self.building = self.building, None
            built.finish_history(time=self.last_time, now=now)
            self.store.replace_with(built, now=now)
        self.ready = True

    def apply_snapshot(self, other, *, now):
        """Replace the store by a peer's, unless that would leave a gap.

        Parameters
        ----------
        other : ConfigStore
            Decoded from a snapshot; must not be used elsewhere.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether it was applied.
        """
        if other.applied_offset < self.store.applied_offset:
            return False
        later = []
        if other.applied_offset < self.next_offset - 1:
            later = self.recent.since(other.applied_offset + 1)
        if later is None:
            return False
        for record in later:
            other.apply(
                record=record.data, offset=record.offset, time=record.time, now=now
            )
        self.building = None
        self.store.replace_with(other, now=now)
        self.ready = True
        return True
