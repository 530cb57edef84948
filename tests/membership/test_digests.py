"""Bounds of the digests that an instance relays."""

from skylarkpost.membership.digests import (
    MAX_PAYLOAD_BYTES,
    MAX_RELAYED_ORIGINS,
    DigestExchange,
)
from skylarkpost.membership.messages import Digest


def test_digests_beyond_the_bound_are_counted_and_not_relayed():
    digests = DigestExchange()
    digests.relayed_topics.add("demand")
    for number in range(MAX_RELAYED_ORIGINS + 3):
        origin = (f"i-{number}", "boot")
        digests.relay(origin, [Digest("demand", 1, b"1")])
    assert digests.relays_dropped == 3
    assert len(digests.pending_relays(("e", "boot"))) == MAX_RELAYED_ORIGINS


def test_a_known_origin_is_relayed_although_the_bound_is_reached():
    digests = DigestExchange()
    digests.relayed_topics.add("demand")
    for number in range(MAX_RELAYED_ORIGINS):
        digests.relay((f"i-{number}", "boot"), [Digest("demand", 1, b"1")])
    digests.relay(("i-0", "boot"), [Digest("demand", 2, b"2")])
    assert digests.relays_dropped == 0
    relayed = digests.pending_relays(("e", "boot"))
    assert [r.digest.payload for r in relayed if r.instance == "i-0"] == [b"2"]


def test_a_payload_beyond_the_bound_leaves_the_one_before():
    """Guards against a process that ends for what targets and callers do."""
    digests = DigestExchange()
    assert digests.publish("crashes", b"1")
    assert not digests.publish("crashes", b"x" * (MAX_PAYLOAD_BYTES + 1))
    assert digests.published["crashes"].payload == b"1"
    assert digests.publish("crashes", b"2")
