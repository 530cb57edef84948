"""Small payloads piggybacked on heartbeats, sent only after a change."""

import logging

from skylarkpost.eventlog import log_event
from skylarkpost.membership.messages import Digest, RelayedDigest

__all__ = ["MAX_PAYLOAD_BYTES", "MAX_RELAYED_ORIGINS", "DigestExchange"]

logger = logging.getLogger(__name__)

MAX_TOPICS = 32
MAX_PAYLOAD_BYTES = 262_144
# With more origins than this, relaying every digest exceeds the budget for control
# traffic; larger fleets need aggregates.
MAX_RELAYED_ORIGINS = 512


class DigestExchange:
    """The published payloads of this instance and the newest ones of all others.

    Attributes
    ----------
    published : dict of str to Digest
        Digests of this instance, by topic.
    received : dict of (str, str) to dict of str to Digest
        Digests of other instances, by (instance, boot) and topic.
    relayed_topics : set of str
        Topics that every instance needs from all others. Heartbeats reach only a
        few instances of each other data centre, which relay these topics within
        their own.
    version : int
        Incremented with each change of what this instance publishes or relays.
    seen_versions : dict of (str, str) to int
        Version up to which the digests of each other instance have been received,
        by (instance, boot).
    relays_dropped : int
        Digests that were not relayed since there are too many origins.
    """

    def __init__(self):
        self.published = {}
        self.received = {}
        self.relayed_topics = set()
        self.version = 0
        self.seen_versions = {}
        self.relays_dropped = 0
        self._acknowledged = {}
        self._relays = {}

    def publish(self, topic, payload):
        """Set the payload of a topic of this instance.

        Parameters
        ----------
        topic : str
            Name of the topic.
        payload : bytes
            Replaces the previous payload.

        Returns
        -------
        bool
            Whether the payload changed. One that is too large is not published; the
            one before stays.
        """
        before = self.published.get(topic)
        if len(payload) > MAX_PAYLOAD_BYTES:
            # Its size follows from what targets and callers do.
            log_event(
                logger,
                "digest-too-large",
                level=logging.WARNING,
                topic=topic,
                size=len(payload),
                bound=MAX_PAYLOAD_BYTES,
            )
            return False
        if before is not None and before.payload == payload:
            return False
        self.version += 1
        self.published[topic] = Digest(topic, self.version, payload)
        assert len(self.published) <= MAX_TOPICS, "too many topics"
        return True

    def pending(self, receiver):
        """Return the digests that a receiver has not acknowledged.

        Parameters
        ----------
        receiver : (str, str)
            Instance and boot.

        Returns
        -------
        tuple of Digest
        """
        seen = self._acknowledged.get(receiver, 0)
        if seen == self.version:
            return ()
        return tuple(d for d in self.published.values() if d.version > seen)

    def relay(self, origin, digests):
        """Queue digests from another data centre for relaying.

        Parameters
        ----------
        origin : (str, str)
            Instance and boot.
        digests : iterable of Digest
            Newer than the ones received before.
        """
        for digest in digests:
            if digest.topic not in self.relayed_topics:
                continue
            if origin not in self._relays and len(self._relays) >= MAX_RELAYED_ORIGINS:
                self.relays_dropped += 1
                continue
            self.version += 1
            entry = (self.version, RelayedDigest(*origin, digest))
            self._relays.setdefault(origin, {})[digest.topic] = entry

    def pending_relays(self, receiver):
        """Return the relayed digests that a receiver has not acknowledged.

        Parameters
        ----------
        receiver : (str, str)
            Instance and boot.

        Returns
        -------
        tuple of RelayedDigest
        """
        seen = self._acknowledged.get(receiver, 0)
        if seen == self.version:
            return ()
        return tuple(
            relayed
            for topics in self._relays.values()
            for version, relayed in topics.values()
            if version > seen
        )

    def acknowledge(self, receiver, version):
        """Record that a receiver has all digests up to a version.

        Parameters
        ----------
        receiver : (str, str)
            Instance and boot.
        version : int
            Value of `version` when the acknowledged heartbeat was sent.
        """
        known = self._acknowledged.get(receiver, 0)
        self._acknowledged[receiver] = max(known, version)

    def note_seen(self, sender, version):
        """Record up to which version the digests of another member are complete.

        Parameters
        ----------
        sender : (str, str)
            Instance and boot.
        version : int
            Its digest version, from its reply.
        """
        self.seen_versions[sender] = max(version, self.seen_versions.get(sender, 0))

    def receive(self, sender, digests):
        """Store digests received from another member.

        Parameters
        ----------
        sender : (str, str)
            Instance and boot.
        digests : iterable of Digest
            In any order; outdated ones are ignored.

        Returns
        -------
        list of Digest
            Those that are newer than the stored ones.
        """
        topics = self.received.setdefault(sender, {})
        newer = []
        for digest in digests:
            before = topics.get(digest.topic)
            is_new = before is None or digest.version > before.version
            if is_new and (before is not None or len(topics) < MAX_TOPICS):
                topics[digest.topic] = digest
                newer.append(digest)
        return newer

    def forget(self, member):
        """Drop all state of a member.

        Parameters
        ----------
        member : (str, str)
            Instance and boot.
        """
        self.received.pop(member, None)
        self.seen_versions.pop(member, None)
        self._relays.pop(member, None)
        self._acknowledged.pop(member, None)
