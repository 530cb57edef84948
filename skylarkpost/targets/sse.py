"""Incremental parser for server-sent events."""

from skylarkpost.targets.outcomes import StreamEvent, StreamKeepAlive

__all__ = ["EventParser"]

LINE_FEED = b"\n"
CARRIAGE_RETURN = b"\r"
MAX_EVENT_BYTES = 1_048_576


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
        self._partial_line = b""
        self._data = []
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
        lines = (self._partial_line + piece).split(LINE_FEED)
        self._partial_line = lines.pop()
        found = []
        for line in lines:
            item = self._parse_line(line.removesuffix(CARRIAGE_RETURN))
            if item is not None:
                found.append(item)
        size = len(self._partial_line) + sum(len(data) for data in self._data)
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
        elif name == b"id":
            self._id = int(value) if value.isdigit() else None
        return None

    def _end_event(self):
        data, number = self._data, self._id
        self._data, self._id = [], None
        if not data or number is None:
            return None
        return StreamEvent(number, LINE_FEED.join(data))
