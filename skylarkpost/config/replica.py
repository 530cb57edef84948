"""One instance's copy of the configuration, fed by the log and by peers."""

from skylarkpost.config.recent import RecentRecords, StreamRecord
from skylarkpost.config.store import ConfigStore
from skylarkpost.config.verdicts import Stale

__all__ = ["ConfigReplica"]

RECENT_LIMIT = 2048


class ConfigReplica:
    """The store that is served, and one that is rebuilt after a gap.

    A reader that was away for longer than the log keeps records can't know
    what happened in between. It goes on serving what it has, builds a second
    store from what the log still keeps, and replaces the first by it when it
    has read to the end, or by the snapshot of a peer without a gap.

    Attributes
    ----------
    store : ConfigStore
        What is served.
    building : ConfigStore or None
        The store that is built after a gap.
    ready : bool
        Whether the configuration was complete once.
    last_time : float
        The log's wall-clock time of the last record, in seconds.
    """

    def __init__(self):
        self.store = ConfigStore()
        self.building = None
        self.ready = False
        self.recent = RecentRecords(limit=RECENT_LIMIT)
        self.last_time = 0.0

    @property
    def applied_offset(self):
        """Offset of the last record in the served store; it only rises."""
        return self.store.applied_offset

    @property
    def next_offset(self):
        """Offset of the record that has to come next."""
        return (self.building or self.store).applied_offset + 1

    def take(self, *, record, offset, time, now):
        """Apply a record from the log or from a peer.

        Parameters
        ----------
        record : dict
            The record.
        offset : int
            Its offset. Records that were applied before are ignored.
        time : float
            The log's wall-clock time of it, in seconds.
        now : float
            The present time, in seconds.

        Returns
        -------
        Verdict
        """
        if offset < self.next_offset:
            return Stale()
        assert offset == self.next_offset, "a record was passed over"
        self.recent.add(StreamRecord(offset, time, record))
        self.last_time = max(self.last_time, time)
        store = self.building or self.store
        return store.apply(record=record, offset=offset, time=time, now=now)

    def note_gap(self, first_offset):
        """Start to rebuild: records before an offset were lost unread.

        Parameters
        ----------
        first_offset : int
            Oldest offset that the log keeps.
        """
        if first_offset > self.next_offset:
            self.building = ConfigStore(first_offset=first_offset)

    def note_end(self, *, now):
        """Note that the log has been read to its end.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        if self.building is not None:
            built, self.building = self.building, None
            built.finish_history(time=self.last_time, now=now)
            self.store.replace_by(built, now=now)
        self.ready = True

    def take_snapshot(self, other, *, now):
        """Take over the store of a peer, if nothing is missing after it.

        Parameters
        ----------
        other : ConfigStore
            Read from a snapshot; not used elsewhere.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            Whether it was taken over.
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
        self.store.replace_by(other, now=now)
        self.ready = True
        return True
