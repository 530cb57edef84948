"""Small payloads that ride on heartbeats, sent only when they changed."""

from skylarkpost.membership.messages import Digest, RelayedDigest

__all__ = ["DigestExchange"]

MAX_TOPICS = 32
MAX_PAYLOAD_BYTES = 262_144
# Beyond this many origins, passing on what each of them sends costs more than the
# budget for control; larger fleets need aggregates.
MAX_RELAYED_ORIGINS = 64


class DigestExchange:
    """The payloads of this instance, and the newest ones of all others.

    Attributes
    ----------
    published : dict of str to Digest
        Of this instance, by topic.
    received : dict of (str, str) to dict of str to Digest
        Of others, by instance and boot, and topic.
    relayed_topics : set of str
        Topics that every instance needs from all others. Heartbeats go to a few
        instances of each other data centre, which pass these on within theirs.
    """

    def __init__(self):
        self.published = {}
        self.received = {}
        self.relayed_topics = set()
        self.version = 0
        self._acknowledged = {}
        self._relays = {}

    def publish(self, topic, payload):
        """Set the payload of a topic of this instance.

        Parameters
        ----------
        topic : str
            What it is about.
        payload : bytes
            It takes the place of the one before.

        Returns
        -------
        bool
            Whether it is another one than before.
        """
        assert len(payload) <= MAX_PAYLOAD_BYTES, f"{topic} is too large"
        before = self.published.get(topic)
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
        """Keep digests of another data centre to be passed on.

        Parameters
        ----------
        origin : (str, str)
            Instance and boot.
        digests : iterable of Digest
            Newer than what came before.
        """
        for digest in digests:
            if digest.topic not in self.relayed_topics:
                continue
            if origin not in self._relays and len(self._relays) >= MAX_RELAYED_ORIGINS:
                continue
            self.version += 1
            entry = (self.version, RelayedDigest(*origin, digest))
            self._relays.setdefault(origin, {})[digest.topic] = entry

    def pending_relays(self, receiver):
        """Return the digests to pass on that a receiver has not acknowledged.

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
        """Note that a receiver has all digests up to a version.

        Parameters
        ----------
        receiver : (str, str)
            Instance and boot.
        version : int
            The value of `version` when the heartbeat was sent.
        """
        known = self._acknowledged.get(receiver, 0)
        self._acknowledged[receiver] = max(known, version)

    def receive(self, sender, digests):
        """Take digests of another member.

        Parameters
        ----------
        sender : (str, str)
            Instance and boot.
        digests : iterable of Digest
            In any order, also older ones.

        Returns
        -------
        list of Digest
            Those that are newer than what was there.
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
        """Drop all that was kept for a member.

        Parameters
        ----------
        member : (str, str)
            Instance and boot.
        """
        self.received.pop(member, None)
        self._relays.pop(member, None)
        self._acknowledged.pop(member, None)
