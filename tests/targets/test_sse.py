import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from skylarkpost.targets import EventParser, StreamEvent, StreamKeepAlive, sse
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


def test_a_long_line_in_small_pieces_is_searched_once(monkeypatch):
    """Guards against work that grows with the square of an event's bytes."""
    searched = 0
    find = sse.find_line_end

    def count(data, start):
        nonlocal searched
        searched += len(data) - start
        return find(data, start)

    monkeypatch.setattr(sse, "find_line_end", count)
    parser = EventParser()
    for _ in range(5000):
        assert parser.feed(b"data") == []
    assert searched <= 20_000 + 5000


@pytest.mark.parametrize("line", [b"data:\n", b"data: x\n"])
def test_the_number_of_lines_of_an_event_is_bounded(line):
    """Guards against an event of endless short lines."""
    parser = EventParser()
    for _ in range(MAX_EVENT_BYTES // 1000 + 1):
        parser.feed(line * 1000)
    assert parser.oversized


def test_an_id_of_thousands_of_digits_is_no_id():
    """Guards against an id that raises in the middle of a stream."""
    assert EventParser().feed(b"id: " + b"9" * 5000 + b"\ndata: x\n\n") == []
