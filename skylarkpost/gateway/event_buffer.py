"""Splits a server-sent event stream into complete events, so that it can be resumed."""

__all__ = ["EventBuffer"]

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


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
        self._remainder = b""

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
        data = self._remainder + chunk
        end = max(
            (at + len(mark) for mark in EVENT_ENDS if (at := data.rfind(mark)) >= 0),
            default=0,
        )
        complete, self._remainder = data[:end], data[end:]
        for line in complete.splitlines():
            if not line.startswith(ID_FIELD):
                continue
            event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
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
        return len(self._remainder)

    def take_remainder(self):
        """Return and clear the bytes after the last complete event.

        Returns
        -------
        bytes
        """
        remainder, self._remainder = self._remainder, b""
        return remainder


def _is_not_later(event_id, other):
    if other is None or not event_id.isdecimal() or not other.isdecimal():
        return False
    return int(event_id) <= int(other)
