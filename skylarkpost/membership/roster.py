"""The other instances known to this one, each with its newest boot."""

from collections import OrderedDict

from skylarkpost.membership.member import is_newer_boot
from skylarkpost.membership.record import MISSED_BEFORE_PROBE, PeerRecord

__all__ = ["Roster"]

MAX_RECORDS = 2000
MAX_SUPERSEDED = 4000
# An instance that another one still reports as alive may have been silent this long.
RELAYED_AGE_S = 5.0


class Roster:
    """Records of the other instances; a superseded boot is never accepted again.

    Parameters
    ----------
    on_remove : callable
        ``on_remove((instance, boot))``, called after a record was removed.

    Attributes
    ----------
    records : dict of str to PeerRecord
        Records by instance.
    version : int
        Increases when an instance is added, replaced or removed.
    lists : dict of str to dict of str to RelayedList
        Member lists received from peers, by data centre and instance.
    superseded : OrderedDict of (str, str) to None
        Superseded (instance, boot) pairs, oldest first.
    """

    def __init__(self, *, on_remove):
        self.on_remove = on_remove
        self.records = {}
        self.version = 0
        self.lists = {}
        self.superseded = OrderedDict()

    def register(self, info, *, now):
        """Add or update an instance from its own description.

        Parameters
        ----------
        info : MemberInfo
            Description with a boot.
        now : float
            Current time, in seconds.

        Returns
        -------
        PeerRecord or None
            None if the boot is superseded, or a newer boot is known and not yet
            silent.
        """
        key = (info.instance, info.boot)
        if key in self.superseded:
            return None
        record = self.records.get(info.instance)
        if record is None:
            return self._add(info, now)
        if record.boot == info.boot:
            record.address = info.address
            record.leaving = record.leaving or info.leaving
            return record
        if is_newer_boot(info.boot, record.boot):
            self._mark_superseded(record.key)
            return self._replace(record, info, now)
        if record.missed > MISSED_BEFORE_PROBE:
            # The wall clock may have been set back, which makes the new boot look
            # older. The previous boot may still return, so it is not superseded.
            return self._replace(record, info, now)
        return None

    def is_superseded(self, info):
        """Return whether an instance's boot was superseded by another one.

        Parameters
        ----------
        info : MemberInfo
            Description with a boot.

        Returns
        -------
        bool
        """
        return (info.instance, info.boot) in self.superseded

    def merge_listed(self, info, *, now):
        """Add or update an instance from a list, which is no proof that it is alive.

        Parameters
        ----------
        info : MemberInfo
            Description; the boot is empty if the list has none.
        now : float
            Current time, in seconds.
        """
        if self.is_superseded(info):
            return
        record = self.records.get(info.instance)
        if record is None:
            self._add(info, now)
        elif is_newer_boot(info.boot, record.boot):
            # A boot that still answers is replaced only by a message of the new one.
            if record.is_unresponsive:
                self._replace(record, info, now)
        elif info.boot == record.boot:
            record.leaving = record.leaving or info.leaving
        elif record.is_unresponsive and not info.boot:
            # The platform's list has the new address of a replaced instance.
            record.address = info.address

    def relayed_seen_at(self, record):
        """Return when other members of its data centre last saw an instance alive.

        Parameters
        ----------
        record : PeerRecord
            The instance.

        Returns
        -------
        float or None
            None if none of them gets answers from it.
        """
        latest = None
        for instance, relayed in self.lists.get(record.data_centre, {}).items():
            reporter = self.records[instance]
            info = relayed.members.get(record.instance)
            if reporter.is_unresponsive or info is None:
                continue
            if info.silent or info.boot != record.boot:
                continue
            if latest is None or reporter.heard_at > latest:
                latest = reporter.heard_at
        return None if latest is None else latest - RELAYED_AGE_S

    def list_from(self, record):
        """Return the last member list received from an instance.

        Parameters
        ----------
        record : PeerRecord
            The instance.

        Returns
        -------
        RelayedList or None
        """
        return self.lists.get(record.data_centre, {}).get(record.instance)

    def store_list(self, record, relayed):
        """Store the member list received from an instance.

        Parameters
        ----------
        record : PeerRecord
            The instance.
        relayed : RelayedList
            Its member list.
        """
        self.lists.setdefault(record.data_centre, {})[record.instance] = relayed

    def remove(self, record):
        """Remove an instance.

        Parameters
        ----------
        record : PeerRecord
            The instance.
        """
        del self.records[record.instance]
        self.version += 1
        self.lists.get(record.data_centre, {}).pop(record.instance, None)
        self.on_remove(record.key)

    def _add(self, info, now):
        if len(self.records) >= MAX_RECORDS:
            return None
        record = PeerRecord(
            instance=info.instance,
            boot=info.boot,
            address=info.address,
            data_centre=info.data_centre,
            now=now,
        )
        record.leaving = info.leaving
        self.records[info.instance] = record
        self.version += 1
        return record

    def _replace(self, record, info, now):
        self.remove(record)
        replacement = self._add(info, now)
        assert replacement is not None, "no room for a replacement"
        replacement.awaited = record.awaited
        return replacement

    def _mark_superseded(self, key):
        if not key[1]:
            return
        self.superseded[key] = None
        if len(self.superseded) > MAX_SUPERSEDED:
            self.superseded.popitem(last=False)
