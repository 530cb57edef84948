"""HTTP protocol of the API port, with limits on request heads."""

import logging

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from skylarkpost.eventlog import log_event

__all__ = ["BoundedHttpProtocol"]

logger = logging.getLogger(__name__)

# Several times the size that clients of model APIs send; a common server default.
MAX_HEAD_BYTES = 32_768
# Maximum time from the first byte of a request to the end of its head.
HEAD_TIMEOUT_S = 10.0

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
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.head_bytes = 0
        self.field_bytes = 0
        self.is_in_head = True
        self.head_timer = None

    def connection_lost(self, exc):
        """Cancel the head timer. See `asyncio.Protocol`."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        """Feed received bytes to the parser. See `asyncio.Protocol`."""
        if self.transport.is_closing():
            return
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
