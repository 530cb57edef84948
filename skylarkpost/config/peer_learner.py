"""Reads the configuration from peers, found through the membership."""

import struct

from skylarkpost.config.learning import LearningPolicy
from skylarkpost.config.peers import read_from_peer
from skylarkpost.rpc import CallFailed

__all__ = ["PeerLearner"]

DIGEST_TOPIC = "config-offset"
OFFSET = struct.Struct(">q")


class PeerLearner:
    """Reads the configuration from peers and announces the own offset.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Provides the membership controller, if there is one.
    replica : ConfigReplica
        Configuration of this instance.
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
        """Return the reachable peers, as a dict of id to member."""
        if self.membership is None:
            return {}
        members = self.membership.reachable(now)
        own = self.services.instance
        return {m.instance: m for m in members if m.instance != own}

    def announce(self):
        """Publish the applied offset of this instance."""
        if self.membership is not None and self.replica.ready:
            payload = OFFSET.pack(self.replica.applied_offset)
            self.membership.publish(DIGEST_TOPIC, payload)

    def may_trust_log(self, now):
        """Return whether the log alone may complete the configuration."""
        return self.policy.may_trust_log(
            self.replica, reachable=list(self.reachable(now)), now=now
        )

    async def learn(self, *, log_fresh_at):
        """Read from a peer, if due.

        Parameters
        ----------
        log_fresh_at : float or None
            When the log was last read to its end.

        Returns
        -------
        str or None
            The peer whose answer was applied.
        """
        now = self.services.clock()
        reachable = self.reachable(now)
        peer_request = self.policy.next_request(
            self.replica, log_fresh_at=log_fresh_at, reachable=list(reachable), now=now
        )
        if peer_request is None:
            return None
        answer = await read_from_peer(
            self.services.peers,
            reachable[peer_request.instance].address,
            from_offset=peer_request.from_offset,
            snapshot=peer_request.snapshot,
        )
        if self._apply_response(peer_request, answer):
            self.policy.note_success()
            return peer_request.instance
        self.policy.note_refused(peer_request.instance)
        return None

    def _apply_response(self, peer_request, answer):
        now = self.services.clock()
        if isinstance(answer, CallFailed):
            return False
        if answer.snapshot is not None:
            return self.replica.apply_snapshot(answer.snapshot, now=now)
        if peer_request.snapshot:
            return False
        for record in answer.records:
            self.replica.receive(
                record=record.data, offset=record.offset, time=record.time, now=now
            )
        return True

    def _note_digest(self, member, payload, now):
        if len(payload) == OFFSET.size:
            self.policy.note_announced_offset(
                member.instance, OFFSET.unpack(payload)[0]
            )
