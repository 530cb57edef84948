import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkpost.targets import EventParser, StreamEvent, StreamKeepAlive
from skylarkpost.targets.sse import MAX_EVENT_BYTES

TEXT = b': alive\n\nid: 1\ndata: {"a": 1}\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n'
ITEMS = [StreamKeepAlive(), StreamEvent(1, b'{"a": 1}'), StreamEvent(2, b"b\nc")]


@settings(derandomize=True, max_examples=60, database=None)
@given(cuts=st.lists(st.integers(0, len(TEXT)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(cuts):
    parser = EventParser()
    edges = [0, *sorted(cuts), len(TEXT)]
    found = []
    for start, end in itertools.pairwise(edges):
        found += parser.feed(TEXT[start:end])
    assert found == ITEMS


def test_an_incomplete_event_is_not_returned():
    assert EventParser().feed(b"id: 1\ndata: x\n") == []
    assert EventParser().feed(b"data: no id\n\n") == []


def test_the_size_of_an_event_is_bounded():
    parser = EventParser()
    parser.feed(b"data: " + b"x" * MAX_EVENT_BYTES)
    assert parser.oversized
    assert parser.feed(b"\n\n") == []
