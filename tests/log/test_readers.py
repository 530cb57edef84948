"""Tests of the selection of instances that read a topic for the others."""

import random

from skylarkpost.log.readers import READERS_PER_DATA_CENTRE, TopicReaders
from skylarkpost.membership import Member, MemberState


def member(name, data_centre="yaba"):
    return Member(name, "boot", f"{name}:1", data_centre, MemberState.LIVE, 0.0)


NAMES = [f"entry-{number}" for number in range(9)]


def sources(names, topic="t"):
    """Return the source of each instance; None if it reads the store itself."""
    found = {}
    for own in names:
        readers = TopicReaders(instance=own, data_centre="yaba")
        others = [member(name) for name in names if name != own]
        others.append(member("far", "lekki"))
        source = readers.find_reader(topic, others, 0.0)
        found[own] = None if source is None else source.instance
    return found


def test_a_data_centre_has_a_fixed_number_of_readers():
    found = sources(NAMES)
    reading = {name for name, source in found.items() if source is None}
    assert len(reading) == READERS_PER_DATA_CENTRE
    assert {source for source in found.values() if source is not None} <= reading


def test_all_instances_of_a_small_data_centre_read():
    assert set(sources(NAMES[:READERS_PER_DATA_CENTRE]).values()) == {None}


def test_a_failed_reader_is_excluded_for_a_while():
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
    # Each instance sees only some of the others. Following the sources must end at
    # an instance that reads the store.
    for seed in range(300):
        rng = random.Random(seed)
        sources_by_instance = {}
        for own in NAMES:
            seen = [name for name in NAMES if name != own and rng.random() < 0.7]
            readers = TopicReaders(instance=own, data_centre="yaba")
            source = readers.find_reader("t", map(member, seen), 0.0)
            sources_by_instance[own] = None if source is None else source.instance
        for own in NAMES:
            steps = 0
            while sources_by_instance[own] is not None:
                own, steps = sources_by_instance[own], steps + 1
                assert steps < len(NAMES), f"seed {seed}"
