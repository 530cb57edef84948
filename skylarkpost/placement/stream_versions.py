"""Which software version began the streams that callers may take up again.

Load pattern: targets of several software versions serve one service side by side,
during a release for seconds or hours, and streams break off meanwhile.
"""

import math
from typing import NamedTuple

from skylarkpost.membership import MemberState

__all__ = [
    "AnyVersion",
    "BegunStream",
    "SoleVersion",
    "StreamVersions",
    "UnknownVersion",
    "latest_unknown_begin",
]

# Instances that reach the store hear of a target within this time of each other.
ANNOUNCEMENT_SPREAD_S = 0.5


class BegunStream(NamedTuple):
    """A stream whose first event was passed on.

    Attributes
    ----------
    service : str
        Its service.
    version : str or None
        Software version of the target that began it; None if it is not known. A
        target without one has the empty version.
    at : float
        When its last part began, in seconds.
    """

    service: str
    version: str | None
    at: float


class AnyVersion(NamedTuple):
    """The stream may go on at any target: the service has one software version."""


class UnknownVersion(NamedTuple):
    """The software version that began the stream can't be told."""


class SoleVersion(NamedTuple):
    """The only software version of a service before a second one joined.

    Attributes
    ----------
    version : str
        The version.
    until : float
        When the second one joined, in seconds.
    """

    version: str
    until: float


def latest_unknown_begin(members, *, behind, heard_since, interval, life, now):
    """Return until when streams may have begun that no instance has stored.

    Load pattern: an instance stands still or is cut off while targets of a second
    software version join, and its streams are taken up at the other instances.

    Parameters
    ----------
    members : iterable of Member
        The other instances.
    behind : set of str
        Those of them that can't store their streams at present.
    heard_since : float
        Time since which each live one has to have been heard, in seconds; it has
        stored the streams from before.
    interval : float
        Longest time between two messages of a live instance, in seconds.
    life : float
        Longest time between the begin of a stream and its last try, in seconds.
    now : float
        The present time, in seconds.

    Returns
    -------
    float or None
        Seconds; None if no silent instance can have begun such a stream, or a live
        one may have.
    """
    latest = -math.inf
    for member in members:
        seen_at = -math.inf if member.last_seen_at is None else member.last_seen_at
        if member.state is MemberState.SILENT:
            latest = max(latest, seen_at)
        elif member.instance in behind or seen_at < heard_since:
            return None
    # Streams that began longer ago have ended.
    return latest + interval if now - latest <= life else None


class StreamVersions:
    """Streams by the caller's attempt that brought their first events.

    While a service has one software version, every stream of it was begun by that
    one. Where it has several, or had within the time in which a stream may be taken
    up, only a stream whose begin is known may go on.

    Parameters
    ----------
    life : float
        Longest time between the begin of a stream and its last try, in seconds.
    capacity : int
        Maximum number of streams.

    Attributes
    ----------
    begun : dict of str to BegunStream
        Streams by attempt, the oldest first.
    unstored : dict of str to None
        Attempts whose streams are not in the store.
    sole : dict of str to SoleVersion
        By service with several versions, the one that it had before.
    history_from : float
        From when on all changes of versions are known, in seconds. A process that
        has just started knows none from before.
    dropped : int
        Streams that were forgotten for lack of room.

    Examples
    --------
    >>> streams = StreamVersions(life=20.0, capacity=100)
    >>> streams.note_history(0.0)
    >>> streams.note_begun("a-1", "engines", "v1", 1.0)
    >>> streams.note_versions("engines", frozenset({"v1"}), 1.0)
    False
    >>> streams.find("a-2", "engines", 2.0)
    AnyVersion()
    >>> streams.note_versions("engines", frozenset({"v1", "v2"}), 3.0)
    True
    >>> streams.find("a-1", "engines", 4.0).version, streams.find("a-2", "engines", 4.0)
    ('v1', UnknownVersion())
    """

    def __init__(self, *, life, capacity):
        self.life = life
        self.capacity = capacity
        self.begun = {}
        self.unstored = {}
        self.versions = {}
        self.mixed_until = {}
        self.sole = {}
        self.history_from = math.inf
        self.dropped = 0

    def note_history(self, since):
        """Record that all changes of versions from a time on are known.

        Parameters
        ----------
        since : float
            The time, in seconds.
        """
        self.history_from = min(self.history_from, since)

    def note_versions(self, service, versions, now):
        """Record the software versions of the announced targets of a service.

        Parameters
        ----------
        service : str
            The service.
        versions : frozenset of str
            All versions; an empty set is ignored.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            Whether the versions changed, or are several from the start.
        """
        if not versions:
            return False
        known = self.versions.get(service)
        if len(versions) > 1 or known not in (None, versions):
            self.note_mixed(service, now)
        self.versions[service] = versions
        return known != versions and self.is_mixed(service, now)

    def note_mixed(self, service, at):
        """Record that a service had several software versions.

        Parameters
        ----------
        service : str
            The service.
        at : float
            When, in seconds.
        """
        self._note_sole(service, at)
        self.note_begun_while_mixed(service, at)

    def note_begun_while_mixed(self, service, at):
        """Record that a stream has been stored, since its service has several versions.

        Parameters
        ----------
        service : str
            The service.
        at : float
            When the stream began, in seconds.
        """
        until = self.mixed_until.get(service, -math.inf)
        self.mixed_until[service] = max(until, at + self.life)

    def _note_sole(self, service, at):
        if self.is_mixed(service, at):
            known = self.sole.get(service)
            if known is not None and at < known.until:
                # Another instance heard of it earlier than this one.
                self.sole[service] = known._replace(until=at)
            return
        self.sole.pop(service, None)
        versions = self.versions.get(service, ())
        if len(versions) == 1 and at >= self.history_from:
            [version] = versions
            self.sole[service] = SoleVersion(version, at)

    def is_mixed(self, service, now):
        """Return whether streams of several software versions may be taken up.

        Parameters
        ----------
        service : str
            The service.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        return now < self.mixed_until.get(service, -math.inf)

    def note_begun(self, attempt, service, version, now, *, is_stored=False):
        """Record the begin of a stream, or of a further part of it.

        Parameters
        ----------
        attempt : str
            Attempt of the caller that brought the first event.
        service : str
            The service.
        version : str or None
            The software version that began the stream; None if it is not known.
        now : float
            The present time, in seconds.
        is_stored : bool
            Whether the store holds it.
        """
        self.begun.pop(attempt, None)
        self.begun[attempt] = BegunStream(service, version, now)
        if is_stored:
            self.unstored.pop(attempt, None)
        else:
            self.unstored[attempt] = None
        while len(self.begun) > self.capacity:
            self._forget_oldest()
            self.dropped += 1

    def find(self, attempt, service, now):
        """Return which software version a stream may go on at.

        Parameters
        ----------
        attempt : str or None
            Attempt that brought its first event; None if the caller doesn't say.
        service : str
            Service that the request is routed to.
        now : float
            The present time, in seconds.

        Returns
        -------
        BegunStream, AnyVersion or UnknownVersion
        """
        self.expire(now)
        known = self.begun.get(attempt)
        if known is not None and known.service != service:
            # The route has moved: versions of two services aren't comparable.
            known = None
        if known is not None and known.version is not None:
            return known
        is_history_known = now - self.history_from >= 0.0
        if is_history_known and not self.is_mixed(service, now):
            return AnyVersion()
        return UnknownVersion()

    def version_before(self, attempt, service, begin):
        """Return the software version of a stream that no instance has stored.

        An instance that has not heard of a second version begins streams at the first
        one, and each one that has stores its streams.

        Parameters
        ----------
        attempt : str or None
            Attempt that brought its first event; None if the caller doesn't say.
        service : str
            Service that the request is routed to.
        begin : float or None
            When it began at the latest, in seconds; None if that is not known.

        Returns
        -------
        SoleVersion or UnknownVersion
        """
        sole = self.sole.get(service)
        if not attempt or attempt in self.begun or sole is None or begin is None:
            return UnknownVersion()
        if begin + ANNOUNCEMENT_SPREAD_S >= sole.until:
            return UnknownVersion()
        return sole

    def due(self, now):
        """Return the streams that have to be stored.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to BegunStream
            Streams of services with several versions, by attempt.
        """
        self.expire(now)
        return {
            attempt: self.begun[attempt]
            for attempt in self.unstored
            if self.is_mixed(self.begun[attempt].service, now)
        }

    def note_stored(self, attempts):
        """Record that the store holds streams.

        Parameters
        ----------
        attempts : iterable of str
            Their attempts.
        """
        for attempt in attempts:
            self.unstored.pop(attempt, None)

    def expire(self, now):
        """Forget streams that are not taken up any more.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        while self.begun:
            oldest = next(iter(self.begun.values()))
            if now - oldest.at <= self.life:
                return
            self._forget_oldest()

    def _forget_oldest(self):
        attempt = next(iter(self.begun))
        del self.begun[attempt]
        self.unstored.pop(attempt, None)
