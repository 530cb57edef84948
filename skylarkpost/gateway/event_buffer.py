"""Splits a server-sent event stream into complete events, so that it can be resumed."""

import re

__all__ = ["EventBuffer"]

EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
LONGEST_END = max(map(len, EVENT_ENDS))
ID_LINE = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")


class EventBuffer:
    r"""Buffers a stream until events are complete, and tracks the last event id.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event returned by `add`.
    is_repeating : bool
        Whether a later part of the stream has an event that an earlier one had. The
        events of that part are not returned.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.add(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> buffer.last_id, buffer.add(b"ta: b\n\n")
    ('1', b'id: 2\ndata: b\n\n')
    """

    def __init__(self):
        self.last_id = None
        self.is_repeating = False
        self._resumed_after = None
        self._pending = bytearray()
        # Bytes of `_pending` in which no event ends.
        self._searched = 0

    def add(self, chunk):
        """Add bytes of a stream.

        Parameters
        ----------
        chunk : bytes
            The next bytes.

        Returns
        -------
        bytes
            The events that are now complete; possibly empty.
        """
        self._pending += chunk
        # An end may have begun in the last bytes that were searched.
        start = max(0, self._searched - LONGEST_END + 1)
        end = find_event_end(self._pending, start)
        complete = bytes(self._pending[:end])
        del self._pending[:end]
        self._searched = len(self._pending)
        for found in ID_LINE.finditer(complete):
            event_id = found[1].strip().decode("latin-1")
            if _is_not_later(event_id, self._resumed_after):
                self.is_repeating = True
                return b""
            self.last_id = event_id
        return complete

    def begin_anew(self):
        """Expect another answer, which goes on after the last complete event."""
        self.take_remainder()
        self.is_repeating = False
        self._resumed_after = self.last_id

    @property
    def pending_bytes(self):
        """Number of bytes after the last complete event."""
        return len(self._pending)

    def take_remainder(self):
        """Return and clear the bytes after the last complete event.

        Returns
        -------
        bytes
        """
        remainder = bytes(self._pending)
        self._pending.clear()
        self._searched = 0
        return remainder


def find_event_end(data, start):
    """Return the length of the complete events at the beginning of some bytes.

    Parameters
    ----------
    data : bytearray
        The bytes.
    start : int
        No event ends before this index.

    Returns
    -------
    int
        0 if no event is complete.
    """
    return max(
        (at + len(mark) for mark in EVENT_ENDS if (at := data.rfind(mark, start)) >= 0),
        default=0,
    )


def _is_not_later(event_id, other):
    if other is None or not event_id.isdecimal() or not other.isdecimal():
        return False
    return _magnitude(event_id) <= _magnitude(other)


def _magnitude(digits):
    """Return a key that orders decimal numbers of any length."""
    significant = digits.lstrip("0")
    return len(significant), significant
