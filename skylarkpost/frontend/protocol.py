"""HTTP protocol of the API port, with limits on request heads."""

import logging
import math

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from skylarkpost.eventlog import log_event
from skylarkpost.transport.connection_account import TurnQueue, connection_to_close
from skylarkpost.transport.sockets import has_unread

__all__ = ["BoundedHttpProtocol"]

logger = logging.getLogger(__name__)

# Several times the size that clients of model APIs send; a common server default.
MAX_HEAD_BYTES = 32_768
# Maximum time from the first byte of a request to the end of its head.
HEAD_TIMEOUT_S = 10.0
# Bytes of input for each piece of a body below which parsing takes longer than reading.
COSTLY_PIECE_BYTES = 256
# Bytes of such input that are parsed in one turn of the event loop.
COSTLY_READ_BYTES = 4096

HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"connection: close\r\ncontent-length: 0\r\n\r\n"
)


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuses request heads that are too large, and closes stalled connections.

    Parameters
    ----------
    args, kwargs : object
        Passed to uvicorn's protocol.

    Attributes
    ----------
    most_connections : int
        Connections of the server that may be open.
    turns : TurnQueue
        Turns of connections whose input takes long to parse.
    """

    most_connections = math.inf
    turns = TurnQueue()

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.head_bytes = 0
        self.field_bytes = 0
        self.is_in_head = True
        self.head_timer = None
        self.pieces = 0
        self.backlog = bytearray()
        self.last_byte_at = self.loop.time()

    @classmethod
    def configured(cls, *, most_connections):
        """Return a subclass for one server.

        Parameters
        ----------
        most_connections : int
            Connections that may be open.

        Returns
        -------
        type
        """
        members = {"most_connections": most_connections, "turns": TurnQueue()}
        return type(cls.__name__, (cls,), members)

    def connection_made(self, transport):
        """Close another connection if too many are open. See `asyncio.Protocol`."""
        super().connection_made(transport)
        if len(self.connections) <= self.most_connections:
            return
        closed = connection_to_close(
            [
                (each, each.idle_since)
                for each in self.connections
                if not each.transport.is_closing()
            ],
            most=self.most_connections,
            now=self.loop.time(),
            has_unread=lambda each: has_unread(each.transport),
        )
        if closed is not None:
            log_event(logger, "caller-closed", reason="too many connections")
            closed.transport.close()

    @property
    def idle_since(self):
        """Time of the last byte, in seconds; None while a request is served."""
        cycle = self.cycle
        is_serving = cycle is not None and not cycle.response_complete
        is_serving = is_serving and not cycle.more_body
        return None if is_serving else self.last_byte_at

    def connection_lost(self, exc):
        """Cancel the head timer. See `asyncio.Protocol`."""
        self._stop_head_timer()
        self.backlog.clear()
        super().connection_lost(exc)

    def data_received(self, data):
        """Feed received bytes to the parser. See `asyncio.Protocol`."""
        if self.transport.is_closing():
            return
        self.last_byte_at = self.loop.time()
        if self.backlog:
            self.backlog += data
            self.transport.pause_reading()
            return
        self._receive(data)

    def on_body(self, body):
        """Count and process a piece of a body."""
        self.pieces += 1
        super().on_body(body)

    def _receive(self, data):
        """Parse what was read, over several turns of the event loop if it is costly."""
        self.pieces = 0
        first = data[:COSTLY_READ_BYTES]
        self._parse(first)
        rest = data[COSTLY_READ_BYTES:]
        if not rest or self.transport.is_closing():
            return
        if self.pieces * COSTLY_PIECE_BYTES <= len(first):
            self._parse(rest)
            return
        self.backlog += rest
        self.transport.pause_reading()
        self.turns.wait(self._take_turn)

    def _take_turn(self):
        data = bytes(self.backlog)
        self.backlog.clear()
        if self.parser is None or self.transport.is_closing():
            return
        if data:
            self._receive(data)
        if not self.backlog and not self.flow.read_paused:
            self.transport.resume_reading()

    def _parse(self, data):
        if self.is_in_head:
            if self.head_timer is None:
                self.head_timer = self.loop.call_later(
                    HEAD_TIMEOUT_S, self._close_stalled
                )
            self.head_bytes += len(data)
        super().data_received(data)
        # If the head is complete by now, its fields were counted one by one.
        if self.is_in_head and self.head_bytes > MAX_HEAD_BYTES:
            self.send_400_response("")

    def on_message_begin(self):
        """Reset the count of field bytes for a new head."""
        self.is_in_head, self.field_bytes = True, 0
        super().on_message_begin()

    def on_url(self, url):
        """Count and process a part of the URL."""
        self._count_field_bytes(len(url))
        super().on_url(url)

    def on_header(self, name, value):
        """Count and process one header field."""
        self._count_field_bytes(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self):
        """Stop the head timer and start to serve the request."""
        self.is_in_head, self.head_bytes = False, 0
        self._stop_head_timer()
        super().on_headers_complete()

    def on_message_complete(self):
        """Expect the next request head."""
        self.is_in_head = True
        super().on_message_complete()

    def send_400_response(self, msg):
        """Refuse an invalid or oversized head and close the connection."""
        is_too_large = max(self.head_bytes, self.field_bytes) > MAX_HEAD_BYTES
        if self.is_in_head and is_too_large:
            log_event(logger, "request-head-refused", limit=MAX_HEAD_BYTES)
            self.transport.write(HEAD_TOO_LARGE_RESPONSE)
            self.transport.close()
            return
        super().send_400_response(msg)

    def _count_field_bytes(self, size):
        self.field_bytes += size
        if self.field_bytes > MAX_HEAD_BYTES:
            # The parser reports this exception as a malformed request.
            raise ValueError("the request head is too large")

    def _close_stalled(self):
        log_event(logger, "request-head-stalled", seconds=HEAD_TIMEOUT_S)
        self.transport.close()

    def _stop_head_timer(self):
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None
