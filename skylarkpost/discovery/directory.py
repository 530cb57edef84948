"""Which targets may be used, from their announcements."""

from skylarkpost.discovery.entries import TargetState

__all__ = ["TargetDirectory"]


class TargetDirectory:
    """Targets by id, as of the last announcements.

    An announcement that goes missing just after the store was out of reach may
    only have lapsed meanwhile. Such targets stay usable for a moment.

    Parameters
    ----------
    expiry_grace : float
        Seconds for which a target stays usable whose entry lapsed during an
        outage; the store's own bound for entries to come back.

    Attributes
    ----------
    entries : dict of str to TargetEntry
        Present announcements.
    expired : dict of str to tuple
        Entries that went missing after an outage, and until when they are used.
    version : int
        Rises with each change.
    """

    def __init__(self, *, expiry_grace):
        self.expiry_grace = expiry_grace
        self.entries = {}
        self.expired = {}
        self.version = 0

    def put(self, entry, now):
        """Take in an announcement.

        Parameters
        ----------
        entry : TargetEntry
            The announcement. One of an earlier run of the target is dropped.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            Whether anything but the count of announcements changed.
        """
        known = self.entries.get(entry.name)
        if known is not None and entry.started_at_ms < known.started_at_ms:
            return False
        self.expired.pop(entry.name, None)
        self.entries[entry.name] = entry
        if known is not None and known == entry:
            return False
        self.version += 1
        return True

    def drop(self, name, now, *, after_outage):
        """Note that an announcement is gone.

        Parameters
        ----------
        name : str
            The target.
        now : float
            The present time, in seconds.
        after_outage : bool
            Whether the store was out of reach just before.
        """
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        self.version += 1
        if after_outage and entry.state is TargetState.READY:
            self.expired[name] = (entry, now + self.expiry_grace)

    def find(self, name, now):
        """Return a target that may be used.

        Parameters
        ----------
        name : str
            The target.
        now : float
            The present time, in seconds.

        Returns
        -------
        TargetEntry or None
        """
        entry = self.entries.get(name)
        if entry is not None:
            return entry if entry.state is TargetState.READY else None
        expired = self.expired.get(name)
        if expired is None:
            return None
        if now >= expired[1]:
            del self.expired[name]
            return None
        return expired[0]

    def usable(self, now):
        """Return all targets that may be used.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of TargetEntry
        """
        names = [*self.entries, *self.expired]
        found = (self.find(name, now) for name in names)
        return [entry for entry in found if entry is not None]
