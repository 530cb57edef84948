"""Directory of the targets that may receive requests."""

import logging
import math

from skylarkpost.discovery.entries import TargetState
from skylarkpost.eventlog import log_event

__all__ = ["TargetDirectory"]

logger = logging.getLogger(__name__)

# Runs of targets that are remembered after they have gone.
MAX_GONE = 4096


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
    silence : float
        Seconds after which the store removes an announcement that is not renewed.

    Attributes
    ----------
    entries : dict of str to TargetEntry
        Current announcements.
    expired : dict of str to tuple
        Entries that expired during an outage, and the time until which they are
        usable.
    gone : dict of str to int
        Start of the runs whose announcement has been removed, by target.
    leaving_runs : dict of str to None
        Boots of the runs that have said in an answer that they leave, in the order
        in which that was heard.
    held_back : dict of str to tuple
        Announcements of gone runs that a restored store offers again, and the time
        at which they are believed, since the store still has them then.
    evacuated : frozenset of str
        Data centres whose targets get no new requests.
    version : int
        Incremented with each change.
    """

    def __init__(self, *, expiry_grace, silence=0.0):
        self.expiry_grace = expiry_grace
        self.silence = silence
        self.gone = {}
        self.gone_before_restore = {}
        self.believed_from = -math.inf
        self.held_back = {}
        self.leaving_runs = {}
        self.evacuated = frozenset()
        self.entries = {}
        self.expired = {}
        self.version = 0
        self.grouped = {}
        self.in_service = {}
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
        if self.is_outdated(entry, now):
            return False
        known = self.entries.get(entry.name)
        self.expired.pop(entry.name, None)
        self.held_back.pop(entry.name, None)
        self.gone.pop(entry.name, None)
        gone_run = self.gone_before_restore.get(entry.name)
        if now < self.believed_from and gone_run == entry.started_at_ms:
            self.held_back[entry.name] = (entry, self.believed_from)
            return False
        self.entries[entry.name] = entry
        if known is not None and known == entry:
            return False
        self.version += 1
        return True

    def is_outdated(self, entry, now):
        """Return whether an announcement says less than what is known.

        Parameters
        ----------
        entry : TargetEntry
            The announcement.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True for an earlier run, and for a run that has said that it leaves if a
            restored store offers what it said before.
        """
        known = self.entries.get(entry.name)
        if known is None or entry.started_at_ms > known.started_at_ms:
            return False
        if entry.started_at_ms < known.started_at_ms:
            return True
        was_leaving = known.state is TargetState.LEAVING
        is_restored = now < self.believed_from
        return is_restored and was_leaving and entry.state is TargetState.READY

    def note_leaving(self, boot):
        """Record that a run of a target has said that it leaves.

        Parameters
        ----------
        boot : str
            The run.

        Returns
        -------
        bool
            Whether it was not known.
        """
        if boot in self.leaving_runs:
            return False
        self.leaving_runs[boot] = None
        self.version += 1
        if len(self.leaving_runs) > MAX_GONE:
            forgotten = next(iter(self.leaving_runs))
            del self.leaving_runs[forgotten]
            log_event(logger, "leaving-run-forgotten", boot=forgotten)
        return True

    def has_run(self, boot):
        """Return whether a run of a target is announced.

        Parameters
        ----------
        boot : str
            The run.

        Returns
        -------
        bool
        """
        entry = self.entries.get(boot.rpartition("/")[0])
        return entry is not None and entry.boot == boot

    def is_newer_run(self, boot):
        """Return whether a run of a target began after the one that is announced.

        Parameters
        ----------
        boot : str
            The run.

        Returns
        -------
        bool
        """
        name, _, started_at_ms = boot.rpartition("/")
        entry = self.entries.get(name)
        if entry is None or entry.boot == boot:
            return False
        return started_at_ms.isdecimal() and int(started_at_ms) > entry.started_at_ms

    def note_restore(self, now):
        """Prepare for announcements from a store that was restored from a copy.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        self.gone_before_restore = dict(self.gone)
        self.believed_from = now + self.silence

    def lose(self, name, now):
        """Remove an announcement that a restored store lacks.

        Parameters
        ----------
        name : str
            The target; it stays usable until it must have written again.
        now : float
            Current time, in seconds.
        """
        self.drop(name, now, after_outage=True)
        self.gone.pop(name, None)

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
        self.held_back.pop(name, None)
        self.gone_before_restore.pop(name, None)
        entry = self.entries.pop(name, None)
        if entry is None:
            return
        self.version += 1
        self.gone[name] = entry.started_at_ms
        if len(self.gone) > MAX_GONE:
            forgotten = next(iter(self.gone))
            del self.gone[forgotten]
            log_event(logger, "gone-target-forgotten", target=forgotten)
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
            is_usable = entry.state is TargetState.READY
            is_usable = is_usable and entry.boot not in self.leaving_runs
            return entry if is_usable else None
        held_back = self.held_back.get(name)
        if held_back is not None and now >= held_back[1]:
            del self.held_back[name]
            self.entries[name] = held_back[0]
            self.version += 1
            return self.find(name, now)
        expired = self.expired.get(name)
        if expired is None:
            return None
        if now >= expired[1]:
            del self.expired[name]
            return None
        return None if expired[0].boot in self.leaving_runs else expired[0]

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
        names = [*self.entries, *self.expired, *self.held_back]
        found = (self.find(name, now) for name in names)
        return [entry for entry in found if entry is not None]

    def in_data_centre(self, data_centre, now):
        """Return the usable targets of a data centre.

        Parameters
        ----------
        data_centre : str
            The data centre.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of TargetEntry
        """
        return [each for each in self.usable(now) if each.data_centre == data_centre]

    def set_evacuated(self, data_centres):
        """Set the data centres whose targets get no new requests.

        Parameters
        ----------
        data_centres : frozenset of str
            The data centres.
        """
        if data_centres != self.evacuated:
            self.evacuated = data_centres
            self.version += 1

    def of_service(self, service, now):
        """Return the targets of a service that may receive requests.

        Unlike `usable_of_service` it leaves out evacuated data centres.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Current time, in seconds.

        Returns
        -------
        tuple of TargetEntry
            The same object until an announcement changes.
        """
        self._group(now)
        return self.in_service.get(service, ())

    def usable_of_service(self, service, now):
        """Return the usable targets of a service, in evacuated data centres too.

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
        self._group(now)
        return self.grouped.get(service, ())

    def _group(self, now):
        is_changing = self.expired or self.held_back
        if not is_changing and self.grouped_version == self.version:
            return
        grouped = {}
        for entry in self.usable(now):
            grouped.setdefault(entry.service, []).append(entry)
        self.grouped = {name: tuple(each) for name, each in grouped.items()}
        self.in_service = self.grouped
        if self.evacuated:
            self.in_service = {
                name: tuple(
                    each for each in entries if each.data_centre not in self.evacuated
                )
                for name, entries in self.grouped.items()
            }
        # Expired and held back entries change without a change of the version.
        is_changing = self.expired or self.held_back
        self.grouped_version = None if is_changing else self.version
