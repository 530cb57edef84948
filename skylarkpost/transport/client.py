"""Client connection to a target: one request at a time, streamed response."""

import asyncio
import socket
from collections import deque
from typing import NamedTuple

import httptools

from skylarkpost.transport.sockets import READ_BYTES, BoundedReads, configure_socket

__all__ = [
    "ConnectFailed",
    "ResponseBroken",
    "ResponseHead",
    "TargetConnection",
    "open_connection",
]

# The target counts as unreachable if sent bytes stay unacknowledged for this long.
USER_TIMEOUT_S = 1.0
# Reading from the target pauses above this many bytes that the caller has not read.
MAX_BUFFERED_BYTES = 262_144
# A target may send without end what is neither a complete head nor part of a body.
MAX_HEAD_BYTES = 65_536
# Answers to one request, late ones to earlier requests included.
MAX_ANSWERS = 8
# Processing an event costs about as much as this many bytes of a body.
EVENT_COST_BYTES = 1024
CLOSE = "close"
# RFC 9110, 15: an answer with any other status is invalid.
MIN_STATUS, MAX_STATUS = 100, 599
FIRST_FINAL_STATUS = 200


class ConnectFailed(NamedTuple):
    """No connection could be opened; nothing was sent.

    Attributes
    ----------
    detail : str
        What happened.
    is_refused : bool
        Whether nothing listens at the address.
    """

    detail: str
    is_refused: bool = False


class ResponseHead(NamedTuple):
    """Status and headers of a response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Names in lower case.
    """

    status: int
    headers: list


class ResponseBroken(NamedTuple):
    """The response, or the rest of it, cannot be received.

    Attributes
    ----------
    detail : str
        What happened.
    has_received_bytes : bool
        Whether any byte of it was received.
    """

    detail: str
    has_received_bytes: bool


class ResponseEnd(NamedTuple):
    """The response is complete.

    Attributes
    ----------
    is_by_close : bool
        Whether only the end of the connection says so.
    """

    is_by_close: bool = False


class TargetConnection(BoundedReads):
    """A connection to one target.

    Parameters
    ----------
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    idle_since : float
        When the last response ended, in seconds of `clock`.
    idle_timeout : float or None
        Idle timeout in seconds that the target announced in ``Keep-Alive``.
    request_count : int
        Number of requests sent on this connection.
    closes_after_response : bool
        Whether the connection is not used again.
    is_open : bool
        Whether the connection is established and not closed.
    closed_because : str or None
        Why the connection was closed, by whichever side closed it first.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.transport = None
        self.idle_since = clock()
        self.idle_timeout = None
        self.request_count = 0
        self.is_open = False
        self.closed_because = None
        self.closes_after_response = False
        self.events = deque()
        self.waiter = None
        self.is_busy = False
        self.has_received_bytes = False
        self.on_lost = None
        self._buffered = 0
        self._bytes_without_turn = 0
        self._writing_paused = False
        self._target_ended = False
        self._reset_parser()

    def connection_made(self, transport):
        """Store the transport. See `asyncio.BaseProtocol`."""
        self.transport = transport
        self.is_open = True

    def connection_lost(self, exc):
        """End the response in progress. See `asyncio.BaseProtocol`."""
        reason = "closed by the target" if exc is None else repr(exc)
        if self.is_busy:
            # asyncio also reports no error after a close on this side, so only the
            # end that the target sent completes a body without length.
            ended_cleanly = exc is None and self._target_ended
            if ended_cleanly and self._body_ends_at_close and self._in_body:
                self._push(ResponseEnd(is_by_close=True))
            else:
                self._push(
                    ResponseBroken(
                        self.closed_because or reason, self.has_received_bytes
                    )
                )
        self._mark_closed(reason)

    def eof_received(self):
        """Close the connection; `connection_lost` follows. See `asyncio.Protocol`."""
        if self.is_busy and self.transport.get_write_buffer_size():
            # It has not read the request to its end, so nothing shows that its answer
            # is complete.
            self.abort("closed by the target before it had read the request")
            return False
        self._target_ended = True
        return False

    def pause_writing(self):
        """See `asyncio.BaseProtocol`."""
        self._writing_paused = True

    def resume_writing(self):
        """See `asyncio.BaseProtocol`."""
        self._writing_paused = False

    def data_received(self, data):
        """Parse received bytes. See `BoundedReads`."""
        if not self.is_busy:
            # Unsolicited bytes would be taken for the response to the next request.
            self.abort("bytes without a request")
            return
        self.has_received_bytes = True
        self._head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._push(ResponseBroken(f"no answer in HTTP: {error}", True))
            self.abort("no answer in HTTP")
            return
        fault = self._fault
        if fault is None and self._answers > MAX_ANSWERS:
            fault = "too many answers"
        elif fault is None and self._head_bytes > MAX_HEAD_BYTES:
            fault = "the head is too long"
        if fault is not None and self.is_open:
            self._push(ResponseBroken(fault, True))
            self.abort(fault)

    def on_message_begin(self):
        """See `httptools.HttpResponseParser`."""
        if self._is_complete:
            # A second response to one request: the connection can't be reused.
            self.closes_after_response = True
            self._is_complete = False
        self._headers = []

    def on_header(self, name, value):
        """See `httptools.HttpResponseParser`."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self):
        """Queue the response head. See `httptools.HttpResponseParser`."""
        status = self.parser.get_status_code()
        if self._fault is not None:
            return
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._fault = f"status {status}"
            return
        if status < FIRST_FINAL_STATUS:
            self._informational = True
            return
        self._answers += 1
        names = {name for name, _ in self._headers}
        framed = "content-length" in names or "transfer-encoding" in names
        self._body_ends_at_close = not framed and status not in (204, 304)
        self._in_body = True
        self._head_bytes = 0
        self._note_persistence(self._headers)
        if self._answers <= MAX_ANSWERS:
            self._push(ResponseHead(status, self._headers))
        if self._is_head:
            # The parser expects the body that the length is of.
            self._in_body = False
            self._is_complete = True
            self._push(ResponseEnd())

    def on_body(self, body):
        """Queue a piece of the body. See `httptools.HttpResponseParser`."""
        self._head_bytes = 0
        if self._is_head:
            self.closes_after_response = True
        if self._answers > MAX_ANSWERS or self._is_head or self._fault is not None:
            return
        self._buffered += len(body)
        if self._buffered > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        last = self.events[-1] if self.events else None
        if isinstance(last, bytearray) and len(last) < READ_BYTES:
            last += body
        else:
            self._push(bytearray(body))

    def on_message_complete(self):
        """Queue the end of the response. See `httptools.HttpResponseParser`."""
        if self._informational:
            self._informational = False
            return
        if self._is_head or self._fault is not None:
            return
        self._in_body = False
        self._is_complete = True
        if not self.parser.should_keep_alive():
            self.closes_after_response = True
        if self._answers <= MAX_ANSWERS:
            self._push(ResponseEnd())

    def send(self, payload, *, is_head=False):
        """Send a request.

        Parameters
        ----------
        payload : bytes
            Serialised request, see `encode_request`.
        is_head : bool
            Whether the method is HEAD, whose answer has no body whatever it says.
        """
        assert not self.is_busy, "the previous response is not complete"
        self._reset_parser()
        self.events.clear()
        self.is_busy = True
        self.has_received_bytes = False
        self.request_count += 1
        self._is_head = is_head
        self.transport.write(payload)

    async def skip_response(self):
        """Discard the rest of a response that belongs to an earlier request."""
        while True:
            event = await self._next_event()
            if isinstance(event, ResponseBroken):
                self.events.appendleft(event)
            if isinstance(event, ResponseEnd | ResponseBroken):
                return

    async def receive(self):
        """Return the next event of the response.

        Returns
        -------
        ResponseHead, bytes, ResponseEnd or ResponseBroken
        """
        event = await self._next_event()
        if isinstance(event, ResponseEnd | ResponseBroken):
            self.is_busy = False
            self.idle_since = self.clock()
        return event

    async def _next_event(self):
        if self._bytes_without_turn >= READ_BYTES:
            # What has already arrived must not keep the event loop.
            self._bytes_without_turn = 0
            await asyncio.sleep(0)
        while not self.events:
            self._bytes_without_turn = 0
            if not self.is_open:
                return ResponseBroken(
                    self.closed_because or "closed", self.has_received_bytes
                )
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        event = self.events.popleft()
        self._bytes_without_turn += EVENT_COST_BYTES
        if isinstance(event, bytearray):
            event = bytes(event)
            self._bytes_without_turn += len(event)
            self._buffered -= len(event)
            if self._buffered <= MAX_BUFFERED_BYTES // 2 and self.is_open:
                self.transport.resume_reading()
        return event

    @property
    def is_reusable(self):
        """Whether another request may be sent on this connection."""
        return (
            self.is_open
            and not self.is_busy
            and not self.closes_after_response
            and not self.events
            and not self._writing_paused
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    def abort(self, reason):
        """Close at once, aborting a request in progress.

        Parameters
        ----------
        reason : str
            Why; the response in progress is broken for this reason.
        """
        self._mark_closed(reason)
        if self.transport is not None:
            self.transport.abort()

    def close(self):
        """Close an idle connection."""
        self._mark_closed("closed while idle")
        if self.transport is not None:
            self.transport.close()

    def _mark_closed(self, reason):
        self.is_open = False
        if self.closed_because is None:
            self.closed_because = reason
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
        if self.on_lost is not None:
            callback, self.on_lost = self.on_lost, None
            callback(self)

    def _push(self, event):
        self.events.append(event)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _reset_parser(self):
        self.parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._body_ends_at_close = False
        self._in_body = False
        self._is_complete = False
        self._informational = False
        self._head_bytes = 0
        self._answers = 0
        self._fault = None
        self._is_head = False

    def _note_persistence(self, headers):
        for name, value in headers:
            if name == "connection" and CLOSE in value.lower():
                self.closes_after_response = True
            elif name == "keep-alive":
                self.idle_timeout = _timeout_of(value) or self.idle_timeout


def _timeout_of(value):
    for part in value.split(","):
        key, _, number = part.strip().partition("=")
        if key.lower() == "timeout" and number.strip().isdigit():
            return float(number)
    return None


async def open_connection(address, *, timeout, clock):
    """Connect to a target.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : float
        Connect timeout, in seconds.
    clock : callable
        Returns the current time in seconds.

    Returns
    -------
    TargetConnection or ConnectFailed
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    configure_socket(sock, user_timeout=USER_TIMEOUT_S)
    try:
        async with asyncio.timeout(timeout):
            await loop.sock_connect(sock, (host, int(port)))
            _, connection = await loop.create_connection(
                lambda: TargetConnection(clock=clock), sock=sock
            )
    except TimeoutError:
        sock.close()
        return ConnectFailed("no connection in time")
    except OSError as error:
        sock.close()
        return ConnectFailed(
            f"refused: {error.strerror or error!r}",
            isinstance(error, ConnectionRefusedError),
        )
    except BaseException:
        sock.close()
        raise
    return connection
