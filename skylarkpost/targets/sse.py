"""Incremental parser for server-sent events."""

from skylarkpost.targets.outcomes import StreamEvent, StreamKeepAlive

__all__ = ["EventParser"]

LINE_FEED = b"\n"
CARRIAGE_RETURN = b"\r"
MAX_EVENT_BYTES = 1_048_576
# Ids are counters; longer ones are no ids.
MAX_ID_DIGITS = 18


class EventParser:
    r"""Parses a byte stream into events and keep-alive comments.

    Events without a numeric id are skipped. Lines end with LF or CRLF.

    Attributes
    ----------
    oversized : bool
        Whether an event exceeded `MAX_EVENT_BYTES`; further input is ignored.

    Examples
    --------
    >>> parser = EventParser()
    >>> parser.feed(b": alive\n\nid: 1\nda")
    [StreamKeepAlive()]
    >>> parser.feed(b"ta: x\n\n")
    [StreamEvent(id=1, data=b'x')]
    """

    def __init__(self):
        self.oversized = False
        self._partial_line = bytearray()
        self._data = []
        self._data_bytes = 0
        self._id = None

    def feed(self, piece):
        """Parse the next chunk of bytes.

        Parameters
        ----------
        piece : bytes
            Chunk of any size, as received from the network.

        Returns
        -------
        list of StreamEvent or StreamKeepAlive
            Items that the chunk completed.
        """
        if self.oversized:
            return []
        start = len(self._partial_line)
        self._partial_line += piece
        end = find_line_end(self._partial_line, start)
        lines = bytes(self._partial_line[:end]).split(LINE_FEED)[:-1]
        del self._partial_line[:end]
        found = []
        for line in lines:
            item = self._parse_line(line.removesuffix(CARRIAGE_RETURN))
            if item is not None:
                found.append(item)
        size = len(self._partial_line) + self._data_bytes
        self.oversized = size > MAX_EVENT_BYTES
        return found

    def _parse_line(self, line):
        if not line:
            return self._end_event()
        if line.startswith(b":"):
            return StreamKeepAlive()
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._data.append(value)
            self._data_bytes += len(value) + len(LINE_FEED)
        elif name == b"id":
            is_number = value.isdigit() and len(value) <= MAX_ID_DIGITS
            self._id = int(value) if is_number else None
        return None

    def _end_event(self):
        data, number = self._data, self._id
        self._data, self._data_bytes, self._id = [], 0, None
        if not data or number is None:
            return None
        return StreamEvent(number, LINE_FEED.join(data))


def find_line_end(data, start):
    """Return the length of the complete lines at the beginning of some bytes.

    Parameters
    ----------
    data : bytearray
        The bytes.
    start : int
        No line ends before this index.

    Returns
    -------
    int
        0 if no line is complete.
    """
    return data.rfind(LINE_FEED, start) + 1
