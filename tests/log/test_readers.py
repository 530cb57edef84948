"""Which instances read a topic of the store for the others."""

import random

from skylarkpost.log.readers import READERS_PER_DATA_CENTRE, TopicReaders
from skylarkpost.membership import Member, MemberState


def member(name, data_centre="yaba"):
    return Member(name, "boot", f"{name}:1", data_centre, MemberState.LIVE, 0.0)


NAMES = [f"entry-{number}" for number in range(9)]


def sources(names, topic="t"):
    """Return whom each instance asks; None if it reads the store."""
    found = {}
    for own in names:
        readers = TopicReaders(instance=own, data_centre="yaba")
        others = [member(name) for name in names if name != own]
        others.append(member("far", "lekki"))
        source = readers.find_reader(topic, others, 0.0)
        found[own] = None if source is None else source.instance
    return found


def test_a_data_centre_has_as_many_readers_and_all_others_ask_one():
    found = sources(NAMES)
    reading = {name for name, source in found.items() if source is None}
    assert len(reading) == READERS_PER_DATA_CENTRE
    assert {source for source in found.values() if source is not None} <= reading


def test_a_small_data_centre_only_reads():
    assert set(sources(NAMES[:READERS_PER_DATA_CENTRE]).values()) == {None}


def test_a_reader_that_failed_is_left_out_for_a_while():
    readers = TopicReaders(instance="entry-x", data_centre="yaba")
    others = [member(name) for name in NAMES]
    topic = next(
        topic
        for topic in map(str, range(99))
        if readers.find_reader(topic, others, 0.0) is not None
    )
    first = readers.find_reader(topic, others, 0.0)
    readers.note_failed(first.instance, 0.0)
    second = readers.find_reader(topic, others, 0.1)
    assert second.instance != first.instance
    readers.note_failed(second.instance, 0.1)
    assert readers.find_reader(topic, others, 0.2) is None
    assert readers.find_reader(topic, others, 9.0) == first


def test_nobody_asks_in_a_circle_however_views_differ():
    # Each sees some of the others only; asking on leads to one that reads itself.
    for seed in range(300):
        rng = random.Random(seed)
        asked = {}
        for own in NAMES:
            seen = [name for name in NAMES if name != own and rng.random() < 0.7]
            readers = TopicReaders(instance=own, data_centre="yaba")
            source = readers.find_reader("t", map(member, seen), 0.0)
            asked[own] = None if source is None else source.instance
        for own in NAMES:
            steps = 0
            while asked[own] is not None:
                own, steps = asked[own], steps + 1
                assert steps < len(NAMES), f"seed {seed}"
