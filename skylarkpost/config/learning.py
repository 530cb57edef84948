"""Decides when an instance asks a peer for the configuration."""

from typing import NamedTuple

__all__ = ["LearningPolicy", "Question"]

LOG_FRESH_S = 2.5
SETTLE_S = 1.0
ASK_INTERVAL_S = 0.5
NEVER_S = float("-inf")


class Question(NamedTuple):
    """What to ask which peer.

    Attributes
    ----------
    instance : str
        Id of the peer.
    from_offset : int
        First record wanted.
    snapshot : bool
        Whether only a snapshot will do.
    """

    instance: str
    from_offset: int
    snapshot: bool


class LearningPolicy:
    """Asks peers when the log is silent, or when it has forgotten too much.

    Parameters
    ----------
    started_at : float
        When this instance started, in seconds.
    random : random.Random
        Chooses among peers.

    Attributes
    ----------
    offers : dict of str to int
        Applied offset that each peer announced last, by instance.
    """

    def __init__(self, *, started_at, random):
        self.started_at = started_at
        self.random = random
        self.offers = {}
        self.asked_at = NEVER_S
        self.refused = set()

    def note_offer(self, instance, applied_offset):
        """Note what a peer announced.

        Parameters
        ----------
        instance : str
            Id of the peer.
        applied_offset : int
            Its applied offset.
        """
        self.offers[instance] = applied_offset

    def note_refused(self, instance):
        """Note that a peer had no complete configuration to give."""
        self.refused.add(instance)

    def note_taken(self):
        """Note that a snapshot was taken over."""
        self.refused.clear()

    def next_question(self, replica, *, log_fresh_at, reachable, now):
        """Return whom to ask for what now.

        Parameters
        ----------
        replica : ConfigReplica
            This instance's copy.
        log_fresh_at : float or None
            When the log was last read to its end.
        reachable : list of str
            Ids of the peers that can be reached.
        now : float
            The present time, in seconds.

        Returns
        -------
        Question or None
        """
        self._forget_absent(reachable)
        if now < self.asked_at + ASK_INTERVAL_S:
            return None
        incomplete = replica.building is not None or not replica.ready
        fresh = log_fresh_at is not None and now - log_fresh_at <= LOG_FRESH_S
        if incomplete and (replica.building is not None or not fresh):
            return self._ask_for_snapshot(replica, reachable, now)
        if not incomplete and not fresh:
            return self._ask_for_records(replica, reachable, now)
        return None

    def may_trust_log(self, replica, *, reachable, now):
        """Return whether the log alone may complete the configuration.

        Parameters
        ----------
        replica : ConfigReplica
            This instance's copy.
        reachable : list of str
            Ids of the peers that can be reached.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            False while records are missing and a peer may still have them.
        """
        if replica.building is None:
            return True
        if now < self.started_at + SETTLE_S:
            return False
        return all(instance in self.refused for instance in reachable)

    def _ask_for_snapshot(self, replica, reachable, now):
        peers = [peer for peer in reachable if peer not in self.refused]
        if not peers:
            if replica.building is None:
                self.refused.clear()
            return None
        return self._ask(replica, peers, True, now)

    def _ask_for_records(self, replica, reachable, now):
        offers = {peer: self.offers.get(peer, -1) for peer in reachable}
        ahead = [peer for peer, o in offers.items() if o > replica.applied_offset]
        return self._ask(replica, ahead, False, now) if ahead else None

    def _ask(self, replica, peers, snapshot, now):
        self.asked_at = now
        best = max(self.offers.get(peer, -1) for peer in peers)
        candidates = [peer for peer in peers if self.offers.get(peer, -1) == best]
        peer = self.random.choice(sorted(candidates))
        return Question(peer, replica.next_offset, snapshot)

    def _forget_absent(self, reachable):
        for instance in [peer for peer in self.offers if peer not in reachable]:
            del self.offers[instance]
        self.refused.intersection_update(reachable)
