"""Directory of the targets that may receive requests."""

from skylarkpost.discovery.entries import TargetState

__all__ = ["TargetDirectory"]


class TargetDirectory:
    """Announced targets by id.

    An announcement that is missing right after an outage of the store may only have
    expired because it could not be renewed. Such targets stay usable for
    `expiry_grace`.

    Parameters
    ----------
    expiry_grace : float
        Seconds for which a target stays usable after its entry expired during an
        outage; the store's own time limit for entries to be renewed.

    Attributes
    ----------
    entries : dict of str to TargetEntry
        Current announcements.
    expired : dict of str to tuple
        Entries that expired during an outage, and the time until which they are
        usable.
    version : int
        Incremented with each change.
    """

    def __init__(self, *, expiry_grace):
        self.expiry_grace = expiry_grace
        self.entries = {}
        self.expired = {}
        self.version = 0
        self.grouped = {}
        self.grouped_version = None

    def put(self, entry, now):
        """Add or update an announcement.

        Parameters
        ----------
        entry : TargetEntry
            The announcement; ignored if it is from an earlier run of the target.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether the entry changed.
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
        """Remove an announcement.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Current time, in seconds.
        after_outage : bool
            Whether the store was unreachable right before.
        """
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        self.version += 1
        if after_outage and entry.state is TargetState.READY:
            self.expired[name] = (entry, now + self.expiry_grace)

    def find(self, name, now):
        """Return a target if it is usable.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Current time, in seconds.

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
        """Return all usable targets.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of TargetEntry
        """
        names = [*self.entries, *self.expired]
        found = (self.find(name, now) for name in names)
        return [entry for entry in found if entry is not None]

    def of_service(self, service, now):
        """Return the usable targets of a service.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Current time, in seconds.

        Returns
        -------
        tuple of TargetEntry
            The same object until an announcement changes, so that callers can
            keep what they derive from it.
        """
        if self.expired or self.grouped_version != self.version:
            grouped = {}
            for entry in self.usable(now):
                grouped.setdefault(entry.service, []).append(entry)
            self.grouped = {name: tuple(each) for name, each in grouped.items()}
            # Expired entries end without a change of the version.
            self.grouped_version = None if self.expired else self.version
        return self.grouped.get(service, ())
