import pytest

from skylarkpost.gateway import event_buffer
from skylarkpost.gateway.event_buffer import EventBuffer

EVENTS = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


def pieces_of(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 64])
def test_events_do_not_depend_on_the_size_of_pieces(size):
    buffer = EventBuffer()
    returned = b"".join(buffer.add(piece) for piece in pieces_of(EVENTS, size))
    assert returned == EVENTS
    assert buffer.last_id == "3"
    assert buffer.take_remainder() == b""


@pytest.mark.parametrize("size", [1, 2, 5, 64])
def test_lines_may_end_with_a_carriage_return_alone(size):
    """Guards against a whole stream that is taken for an endless event."""
    buffer = EventBuffer()
    events = b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r"
    assert b"".join(buffer.add(piece) for piece in pieces_of(events, size)) == events
    assert buffer.last_id == "2"
    assert buffer.take_remainder() == b""


@pytest.mark.parametrize("size", [1, 3, 16, 1024])
def test_each_byte_is_searched_a_fixed_number_of_times(size, monkeypatch):
    """Guards against work that grows with the square of an event's bytes."""
    searched = 0
    find = event_buffer.find_event_end

    def count(data, start):
        nonlocal searched
        searched += len(data) - start
        return find(data, start)

    monkeypatch.setattr(event_buffer, "find_event_end", count)
    buffer = EventBuffer()
    pieces = pieces_of(b"x" * 20_000, size)
    for piece in pieces:
        assert buffer.add(piece) == b""
    assert buffer.pending_bytes == 20_000
    assert searched <= 20_000 + event_buffer.LONGEST_END * len(pieces)


def test_an_id_of_thousands_of_digits_is_compared_like_any_other():
    """Guards against an id that raises in the middle of a stream."""
    buffer = EventBuffer()
    buffer.add(b"id: 7\ndata: a\n\n")
    buffer.begin_anew()
    later = b"id: " + b"9" * 5000 + b"\ndata: b\n\n"
    assert buffer.add(later) == later
    assert not buffer.is_repeating
