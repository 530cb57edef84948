"""Policy for reading the configuration from peers."""

from typing import NamedTuple

__all__ = ["LearningPolicy", "PeerRequest"]

LOG_FRESH_S = 2.5
STARTUP_GRACE_S = 1.0
REQUEST_INTERVAL_S = 0.5
NEVER_S = float("-inf")


class PeerRequest(NamedTuple):
    """A read request to a peer.

    Attributes
    ----------
    instance : str
        Id of the peer.
    from_offset : int
        Offset of the first requested record.
    snapshot : bool
        Whether a snapshot is required.
    """

    instance: str
    from_offset: int
    snapshot: bool


class LearningPolicy:
    """Requests from peers when the log is unavailable or has lost needed records.

    Parameters
    ----------
    started_at : float
        When this instance started, in seconds.
    random : random.Random
        Selects among equal peers.

    Attributes
    ----------
    announced_offsets : dict of str to int
        Last applied offset announced by each peer, by instance.
    """

    def __init__(self, *, started_at, random):
        self.started_at = started_at
        self.random = random
        self.announced_offsets = {}
        self.last_request_at = NEVER_S
        self.refused = set()

    def note_announced_offset(self, instance, applied_offset):
        """Record the offset announced by a peer.

        Parameters
        ----------
        instance : str
            Id of the peer.
        applied_offset : int
            Its applied offset.
        """
        self.announced_offsets[instance] = applied_offset

    def note_refused(self, instance):
        """Record that a peer could not provide a complete configuration."""
        self.refused.add(instance)

    def note_success(self):
        """Record that a peer's answer was applied."""
        self.refused.clear()

    def next_request(self, replica, *, log_fresh_at, reachable, now):
        """Return the request to send now, if any.

        Parameters
        ----------
        replica : ConfigReplica
            Configuration of this instance.
        log_fresh_at : float or None
            When the log was last read to its end.
        reachable : list of str
            Ids of the reachable peers.
        now : float
            Current time, in seconds.

        Returns
        -------
        PeerRequest or None
        """
        self._remove_absent(reachable)
        if now < self.last_request_at + REQUEST_INTERVAL_S:
            return None
        incomplete = replica.building is not None or not replica.ready
        fresh = log_fresh_at is not None and now - log_fresh_at <= LOG_FRESH_S
        if incomplete and (replica.building is not None or not fresh):
            return self._request_snapshot(replica, reachable, now)
        if not incomplete and not fresh:
            return self._request_records(replica, reachable, now)
        return None

    def may_trust_log(self, replica, *, reachable, now):
        """Return whether the log alone may complete the configuration.

        Parameters
        ----------
        replica : ConfigReplica
            Configuration of this instance.
        reachable : list of str
            Ids of the reachable peers.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            False while records are missing that a peer may still have.
        """
        if replica.building is None:
            return True
        if now < self.started_at + STARTUP_GRACE_S:
            return False
        return all(instance in self.refused for instance in reachable)

    def _request_snapshot(self, replica, reachable, now):
        peers = [peer for peer in reachable if peer not in self.refused]
        if not peers:
            if replica.building is None:
                self.refused.clear()
            return None
        return self._request(replica, peers, True, now)

    def _request_records(self, replica, reachable, now):
        announced_offsets = {
            peer: self.announced_offsets.get(peer, -1) for peer in reachable
        }
        ahead = [
            peer for peer, o in announced_offsets.items() if o > replica.applied_offset
        ]
        return self._request(replica, ahead, False, now) if ahead else None

    def _request(self, replica, peers, snapshot, now):
        self.last_request_at = now
        best = max(self.announced_offsets.get(peer, -1) for peer in peers)
        candidates = [
            peer for peer in peers if self.announced_offsets.get(peer, -1) == best
        ]
        peer = self.random.choice(sorted(candidates))
        return PeerRequest(peer, replica.next_offset, snapshot)

    def _remove_absent(self, reachable):
        for instance in [
            peer for peer in self.announced_offsets if peer not in reachable
        ]:
            del self.announced_offsets[instance]
        self.refused.intersection_update(reachable)
