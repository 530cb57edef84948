"""Finds the whole events in a stream, so that it can go on elsewhere."""

__all__ = ["EventBuffer"]

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventBuffer:
    r"""Passes whole events on and remembers the id of the last one.

    Attributes
    ----------
    last_id : str or None
        Id of the last whole event that was passed on.

    Examples
    --------
    >>> cutter = EventBuffer()
    >>> cutter.add(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cutter.last_id, cutter.add(b"ta: b\n\n")
    ('1', b'id: 2\ndata: b\n\n')
    """

    def __init__(self):
        self.last_id = None
        self._remainder = b""

    def add(self, chunk):
        """Take in bytes of a stream.

        Parameters
        ----------
        chunk : bytes
            The next bytes.

        Returns
        -------
        bytes
            The events that are whole now; possibly none.
        """
        data = self._remainder + chunk
        end = max(
            (at + len(mark) for mark in EVENT_ENDS if (at := data.rfind(mark)) >= 0),
            default=0,
        )
        complete, self._remainder = data[:end], data[end:]
        for line in complete.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
        return complete

    def take_remainder(self):
        """Return bytes that end no event, at the end of a whole stream.

        Returns
        -------
        bytes
        """
        remainder, self._remainder = self._remainder, b""
        return remainder
