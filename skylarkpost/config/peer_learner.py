"""What the configuration needs of the membership: who is there, and how far."""

import struct

from skylarkpost.config.learning import LearningPolicy
from skylarkpost.config.peers import read_from_peer
from skylarkpost.rpc import CallFailed

__all__ = ["PeerLearner"]

DIGEST_TOPIC = "config-offset"
OFFSET = struct.Struct(">q")


class PeerLearner:
    """Learns the configuration from peers.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Where the membership controller is found, if there is one.
    replica : ConfigReplica
        This instance's copy.
    """

    def __init__(self, *, services, replica):
        self.services = services
        self.replica = replica
        self.policy = LearningPolicy(
            started_at=services.clock(), random=services.random
        )
        self.membership = services.controllers.get("membership")
        if self.membership is not None:
            self.membership.subscribe(DIGEST_TOPIC, self._note_digest)

    def reachable(self, now):
        """Return the peers that can be reached, as a dict of id to member."""
        if self.membership is None:
            return {}
        members = self.membership.reachable(now)
        own = self.services.instance
        return {m.instance: m for m in members if m.instance != own}

    def announce(self):
        """Tell the peers how far this instance has applied the stream."""
        if self.membership is not None and self.replica.ready:
            payload = OFFSET.pack(self.replica.applied_offset)
            self.membership.publish(DIGEST_TOPIC, payload)

    def may_trust_log(self, now):
        """Return whether the log alone may complete the configuration."""
        return self.policy.may_trust_log(
            self.replica, reachable=list(self.reachable(now)), now=now
        )

    async def learn(self, *, log_fresh_at):
        """Ask a peer, if that is due.

        Parameters
        ----------
        log_fresh_at : float or None
            When the log was last read to its end.

        Returns
        -------
        str or None
            The peer that something was learned from.
        """
        now = self.services.clock()
        reachable = self.reachable(now)
        question = self.policy.next_question(
            self.replica, log_fresh_at=log_fresh_at, reachable=list(reachable), now=now
        )
        if question is None:
            return None
        answer = await read_from_peer(
            self.services.peers,
            reachable[question.instance].address,
            from_offset=question.from_offset,
            snapshot=question.snapshot,
        )
        if self._take(question, answer):
            self.policy.note_taken()
            return question.instance
        self.policy.note_refused(question.instance)
        return None

    def _take(self, question, answer):
        now = self.services.clock()
        if isinstance(answer, CallFailed):
            return False
        if answer.snapshot is not None:
            return self.replica.take_snapshot(answer.snapshot, now=now)
        if question.snapshot:
            return False
        for record in answer.records:
            self.replica.take(
                record=record.data, offset=record.offset, time=record.time, now=now
            )
        return True

    def _note_digest(self, member, payload, now):
        if len(payload) == OFFSET.size:
            self.policy.note_offer(member.instance, OFFSET.unpack(payload)[0])
