"""Server connection: parses a caller's requests and writes responses in order."""

import asyncio
import http
import logging
from collections import deque
from dataclasses import dataclass
from typing import Any, NamedTuple

import httptools

from skylarkpost.eventlog import log_event
from skylarkpost.transport.client import MAX_BUFFERED_BYTES
from skylarkpost.transport.connection_account import (
    AccountLimits,
    ConnectionAccount,
    TurnQueue,
    connection_to_close,
)
from skylarkpost.transport.sockets import (
    READ_BUFFER,
    BoundedReads,
    configure_socket,
    has_unread,
    set_reset_on_close,
)

__all__ = ["BodyBrokenError", "CallerConnection", "IncomingRequest", "PlainResponse"]

logger = logging.getLogger(__name__)

# A caller that acknowledges no bytes for this long is disconnected.
USER_TIMEOUT_S = 10.0
# Reading from a connection pauses while this many requests are queued.
MAX_PIPELINED = 8
# Bytes of each header line beyond its name and value: colon, space, CR and LF.
HEADER_OVERHEAD = 4
STATUSES_WITHOUT_BODY = frozenset({204, 304})
REASON_PHRASES = {each.value: each.phrase for each in http.HTTPStatus}
CONNECT = "CONNECT"
REASON_PHRASES[499] = "Client Closed Request"
# The body of a request that is served is also held by the connection to its target.
IN_SERVICE_COPIES = 2
# Bytes of input for each piece of a body below which parsing takes longer than reading.
COSTLY_PIECE_BYTES = 256
# Bytes of such input that are read in one turn of the event loop.
COSTLY_READ_BYTES = 4096
# Stalled connections are closed within about this time.
NO_ROOM_RETRY_AFTER_S = 1


UNLIMITED = AccountLimits(capacity=2**62, connections=2**62)


class UpgradeOffer(NamedTuple):
    """Request line of a request that offers to switch to another protocol."""

    method: str
    target: str
    version: str


class BodyBrokenError(Exception):
    """The body of a response cannot be completed."""


class PlainResponse(NamedTuple):
    """A response with its complete body.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without ``content-length`` and ``transfer-encoding``.
    body : bytes
        The complete body.
    closes : bool
        Whether the connection is closed after the response.
    """

    status: int
    headers: tuple = ()
    body: bytes = b""
    closes: bool = False


@dataclass(kw_only=True)
class IncomingRequest:
    """A request that was received completely.

    Attributes
    ----------
    method, target : str
        Method and target of the request line; the target is path and query.
    headers : list of (str, str)
        Names in lower case.
    body : bytes
        The complete body.
    received_at : float
        When its first byte was received, in seconds.
    completed_at : float
        When its last byte was received, in seconds.
    keep_alive : bool
        Whether the caller allows the connection to be reused.
    supports_chunked : bool
        Whether the caller accepts chunked bodies (HTTP/1.1).
    is_half_closed : bool
        Whether the caller has closed its sending side.
    is_disconnected : bool
        Whether the connection is lost.
    on_change : callable or None
        Called when `is_half_closed` or `is_disconnected` is set.
    """

    method: str
    target: str
    headers: list
    body: bytes
    received_at: float
    completed_at: float
    keep_alive: bool
    supports_chunked: bool
    is_half_closed: bool = False
    is_disconnected: bool = False
    on_change: Any = None

    def note_half_closed(self):
        """Note that the caller has closed its sending side."""
        self.is_half_closed = True
        if self.on_change is not None:
            self.on_change()

    def note_disconnected(self):
        """Note that the connection is lost."""
        self.is_disconnected = True
        if self.on_change is not None:
            self.on_change()

    def header(self, name, default=None):
        """Return the first value of a header.

        Parameters
        ----------
        name : str
            Header name in lower case.
        default : str or None
            Returned if the header is missing.

        Returns
        -------
        str or None
        """
        return next((v for n, v in self.headers if n == name), default)


class CallerConnection(BoundedReads):
    """Serves the requests of one connection sequentially.

    Parameters
    ----------
    handler : callable
        Async; takes an `IncomingRequest` and returns a `PlainResponse`, or an
        outcome with ``status``, ``headers`` and an async generator ``body``.
    bounds : callable
        Returns the `skylarkpost.routing.CallerBounds` in force.
    clock : callable
        Returns the current time in seconds.
    connections : set
        Open connections; each connection adds and removes itself.
    is_closing : callable
        Returns whether connections should close after the current request.
    account : ConnectionAccount or None
        What all connections of the port hold; None for no limit.
    turns : TurnQueue or None
        Turns of connections whose input takes long to parse.
    """

    def __init__(
        self,
        *,
        handler,
        bounds,
        clock,
        connections,
        is_closing,
        account=None,
        turns=None,
    ):
        self.handler = handler
        self.bounds = bounds
        self.clock = clock
        self.connections = connections
        self.is_closing = is_closing
        self.account = account or ConnectionAccount(limits=UNLIMITED)
        self.turns = turns or TurnQueue()
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.requests = deque()
        self.current = None
        self.refusal = None
        self.task = None
        self.timer = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.half_closed = False
        self.is_lost = False
        self._first_byte_at = None
        self._last_byte_at = None
        self._raw_head_bytes = 0
        self._in_head = False
        self._offer = None
        self._pieces = 0
        self._is_costly = False
        self._waits_for_turn = False
        self._unsent = 0
        self._reset_message()

    def connection_made(self, transport):
        """Start the idle timer. See `asyncio.BaseProtocol`."""
        self.transport = transport
        self.connections.add(self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_socket(sock, user_timeout=USER_TIMEOUT_S)
        self._last_byte_at = self.clock()
        self._set_timer()
        if len(self.connections) > self.account.limits.connections:
            self._make_room_for_connection()

    @property
    def is_ending(self):
        """Whether the connection is closed once its last answer has been written."""
        return self.refusal is not None or self.transport.is_closing()

    @property
    def idle_since(self):
        """Time of the last byte, in seconds; None while a request is served."""
        return None if self._is_serving() else self._last_byte_at

    def connection_lost(self, exc):
        """Notify the pending requests. See `asyncio.BaseProtocol`."""
        self.is_lost = True
        self.connections.discard(self)
        self.account.hold(self, 0, now=self.clock())
        self.writable.set()
        if self.timer is not None:
            self.timer.cancel()
        for request in (self.current, *self.requests):
            if request is not None:
                request.note_disconnected()
        self.requests.clear()

    def eof_received(self):
        """Keep the write side open while requests are pending."""
        self.half_closed = True
        for request in (self.current, *self.requests):
            if request is not None:
                request.note_half_closed()
        # A request that is incomplete now can't be completed any more.
        return self.current is not None or bool(self.requests)

    def pause_writing(self):
        """Apply backpressure. See `asyncio.BaseProtocol`."""
        self.writable.clear()

    def resume_writing(self):
        """Lift backpressure. See `asyncio.BaseProtocol`."""
        self.writable.set()

    def get_buffer(self, sizehint):
        """Return the buffer to read into. See `BoundedReads`."""
        if self._is_costly:
            return READ_BUFFER[:COSTLY_READ_BYTES]
        return super().get_buffer(sizehint)

    def data_received(self, data):
        """Parse received bytes. See `BoundedReads`."""
        if self.refusal is not None:
            return
        self._pieces = 0
        self._last_byte_at = self.clock()
        if self._first_byte_at is None:
            self._first_byte_at = self._last_byte_at
        if self._in_head or self._is_between_requests():
            self._raw_head_bytes += len(data)
        self._parse(data)
        if self._in_head and self._raw_head_bytes > self.bounds().header_bytes:
            self._refuse(431, "The head is too large.")
        self._note_held()
        self._make_room()
        self._is_costly = self._pieces * COSTLY_PIECE_BYTES > len(data)
        if self._is_costly and not self._waits_for_turn:
            self._waits_for_turn = True
            self.turns.wait(self._take_turn)
        self._update_reading()
        self._set_timer()

    def close_for_room(self, reason):
        """Close the connection, since others need what it holds.

        Parameters
        ----------
        reason : str
            Why, for the log.
        """
        if self.is_lost or self.refusal is not None:
            return
        held = self.account.held.get(self)
        log_event(
            logger,
            "caller-closed",
            reason=reason,
            held=0 if held is None else held.size,
            idle=self.clock() - self._last_byte_at,
            total=self.account.total,
            connections=len(self.connections),
        )
        if self._is_serving():
            # Its answer isn't read. A connection that ends promises nothing.
            set_reset_on_close(self.transport, True)
            self.transport.abort()
        elif self._first_byte_at is None:
            self._close()
        else:
            self._refuse_for_room()

    def _make_room_for_connection(self):
        closed = connection_to_close(
            [
                (each, each.idle_since)
                for each in self.connections
                if not each.is_ending
            ],
            most=self.account.limits.connections,
            now=self.clock(),
            has_unread=lambda each: has_unread(each.transport),
        )
        if closed is not None:
            closed.close_for_room("too many connections")

    def _is_serving(self):
        return self.current is not None or self.task is not None

    def _refuse_for_room(self):
        self._refuse(
            503,
            "There is no room for the body at present.",
            (("retry-after", str(NO_ROOM_RETRY_AFTER_S)),),
        )

    def _note_held(self):
        size = len(self._body) + self._unsent
        size += sum(len(request.body) for request in self.requests)
        if self.current is not None:
            size += IN_SERVICE_COPIES * len(self.current.body)
        # A request that may run is not ended for others; its answer's delivery may be.
        may_be_closed = not self._is_serving() or self._unsent > 0
        self.account.hold(self, size, now=self.clock(), may_be_closed=may_be_closed)

    def _make_room(self):
        body_limit = self.bounds().body_bytes
        if self._body and not self.account.may_grow(self, body_limit=body_limit):
            self._refuse_for_room()
        for each in self.account.stalled(now=self.clock(), body_limit=body_limit):
            each.close_for_room("stalled")

    def _take_turn(self):
        self._waits_for_turn = False
        if not self.is_lost:
            self._update_reading()

    def _update_reading(self):
        """Read on unless enough requests wait, or others have their turn."""
        queued = sum(len(request.body) for request in self.requests)
        is_full = (
            len(self.requests) >= MAX_PIPELINED or queued >= self.bounds().body_bytes
        )
        if is_full or self._waits_for_turn:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _parse(self, data):
        while data and self.refusal is None:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The parser takes what follows for another protocol.
                if self.refusal is not None:
                    return
                head = self._head_without_offer()
                self.parser = httptools.HttpRequestParser(self)
                self._parse(head)
                data = data[upgrade.args[0] :]
            except httptools.HttpParserError as error:
                if self.refusal is None:
                    self._refuse(400, f"The request cannot be parsed: {error}")

    def _head_without_offer(self):
        """Return the head that was parsed without its offer to switch protocols.

        A server may ignore the offer (RFC 9110, section 7.8).
        """
        lines = [
            f"{self._offer.method} {self._offer.target} HTTP/{self._offer.version}"
        ]
        for name, value in self._headers:
            if name == "connection":
                options = (each.strip() for each in value.split(","))
                value = ", ".join(each for each in options if each.lower() != "upgrade")
            if name != "upgrade":
                lines.append(f"{name}: {value}")
        self._offer = None
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def on_message_begin(self):
        """See `httptools.HttpRequestParser`."""
        self._reset_message()
        self._in_head = True
        if self._first_byte_at is None:
            self._first_byte_at = self._last_byte_at
        # The header timeout is shorter than the idle timeout that the timer runs to.
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_url(self, url):
        """See `httptools.HttpRequestParser`."""
        self._url += url

    def on_header(self, name, value):
        """See `httptools.HttpRequestParser`."""
        self._head_bytes += len(name) + len(value) + HEADER_OVERHEAD
        if self._is_head_complete:
            # Trailers may be dropped (RFC 9110, section 6.5.1); they are no headers.
            if self._head_bytes > self.bounds().header_bytes and self.refusal is None:
                self._refuse(431, "The trailers are too large.")
            return
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self):
        """Validate the request head. See `httptools.HttpRequestParser`."""
        self._in_head = False
        self._raw_head_bytes = 0
        self._is_head_complete = True
        method = self.parser.get_method().decode("latin-1")
        version = self.parser.get_http_version()
        if self.parser.should_upgrade() and method != CONNECT:
            target = self._url.decode("latin-1")
            self._offer = UpgradeOffer(method, target, version)
            return None
        names = [name for name, _ in self._headers]
        values = dict(self._headers)
        coding = values.get("transfer-encoding")
        fault = None
        if self._head_bytes + len(self._url) > self.bounds().header_bytes:
            return self._refuse(431, "The head is too large.")
        if "transfer-encoding" in names and "content-length" in names:
            fault = "Both Content-Length and Transfer-Encoding are set."
        elif coding is not None and coding.strip().lower() != "chunked":
            fault = "No transfer coding but chunked is supported."
        elif coding is not None and version != "1.1":
            fault = "Transfer-Encoding needs HTTP/1.1."
        elif names.count("content-length") > 1:
            fault = "Content-Length is set twice."
        elif names.count("host") != 1:
            fault = "There has to be one Host header."
        elif not self._url.startswith(b"/"):
            fault = "The target has to be a path."
        if fault is not None:
            return self._refuse(400, fault)
        length = values.get("content-length", "0")
        if length.isdigit() and int(length) > self.bounds().body_bytes:
            return self._refuse(413, "The body is too large.")
        if values.get("expect", "").lower() == "100-continue" and not self.is_lost:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return None

    def on_body(self, body):
        """See `httptools.HttpRequestParser`."""
        if self.refusal is not None:
            return
        self._pieces += 1
        self._body += body
        if len(self._body) > self.bounds().body_bytes:
            self._refuse(413, "The body is too large.")

    def on_message_complete(self):
        """Queue the request. See `httptools.HttpRequestParser`."""
        if self.refusal is not None or self._offer is not None:
            return
        version = self.parser.get_http_version()
        request = IncomingRequest(
            method=self.parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._first_byte_at,
            completed_at=self.clock(),
            keep_alive=self.parser.should_keep_alive(),
            supports_chunked=version == "1.1",
        )
        self._first_byte_at = None
        self._reset_message()
        self.requests.append(request)
        self._start()

    def close_when_idle(self):
        """Close the connection if no request is pending or being received."""
        if self.current is None and not self.requests and self._first_byte_at is None:
            self.transport.close()

    def _reset_message(self):
        self._url = b""
        self._headers = []
        self._head_bytes = 0
        self._is_head_complete = False
        self._body = bytearray()

    def _is_between_requests(self):
        return not self._in_head and not self._headers

    def _refuse(self, status, message, headers=()):
        self._body = bytearray()
        self.refusal = PlainResponse(
            status,
            (("content-type", "application/json"), *headers),
            b'{"error": {"message": "%s", "run_state": "not-run"}}'
            % message.replace('"', "'").encode("ascii", "replace"),
            closes=True,
        )
        self._note_held()
        self._start()

    def _start(self):
        if self.task is None and not self.is_lost:
            self.task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self):
        try:
            while self.requests and not self.is_lost:
                self.current = self.requests.popleft()
                self.current.is_half_closed = self.half_closed
                self._note_held()
                self._update_reading()
                response = await self._handle(self.current)
                keeps_open = await self._respond(self.current, response)
                self.current = None
                self._note_held()
                if not keeps_open:
                    self._close()
                    return
                if self.requests:
                    # Requests that are answered at once must not keep the event loop.
                    await asyncio.sleep(0)
            if self.refusal is not None and not self.is_lost:
                await self._respond(None, self.refusal)
                self._close()
                return
            if self.half_closed:
                self._close()
            self._last_byte_at = self.clock()
        finally:
            self.task = None
            self._set_timer()

    async def _handle(self, request):
        try:
            return await self.handler(request)
        except AssertionError:
            raise
        except Exception:
            # A fault that only this request triggers must not leave it unanswered.
            logger.exception("event=request-crashed target=%s", request.target[:200])
            return PlainResponse(500, closes=True)

    async def _respond(self, request, response):
        """Write a response and return whether the connection can be reused."""
        closes = request is None or not request.keep_alive or self.is_closing()
        if isinstance(response, PlainResponse):
            closes = closes or response.closes
            self._write_plain(request, response, closes)
            return not closes
        return await self._write_stream(request, response, closes)

    def _write_plain(self, request, response, closes):
        if self.is_lost:
            return
        headers = [*response.headers]
        is_head = request is not None and request.method == "HEAD"
        if response.status not in STATUSES_WITHOUT_BODY:
            named = {name for name, _ in headers}
            if not (is_head and "content-length" in named):
                headers.append(("content-length", str(len(response.body))))
        body = b"" if is_head else response.body
        self.transport.write(self._head(response.status, headers, closes) + body)

    async def _write_stream(self, request, response, closes):
        headers = list(response.headers)
        lengths = [value for name, value in headers if name == "content-length"]
        has_body = (
            request.method != "HEAD" and response.status not in STATUSES_WITHOUT_BODY
        )
        chunked = has_body and not lengths and request.supports_chunked
        ends_at_close = has_body and not lengths and not chunked
        if ends_at_close:
            closes = True
            # Whatever ends the answer early, the end of the process included, must
            # not look like its end. Without a buffer here all of it is sent by then.
            set_reset_on_close(self.transport, True)
            self.transport.set_write_buffer_limits(high=0)
        if chunked:
            headers.append(("transfer-encoding", "chunked"))
        body = response.body
        try:
            if not self.is_lost:
                self.transport.write(self._head(response.status, headers, closes))
            async for piece in body:
                # A write that fails closes the transport; the loss is told later.
                if self.is_lost or self.transport.is_closing():
                    return False
                if not piece or not has_body:
                    continue
                if chunked:
                    piece = b"%x\r\n%b\r\n" % (len(piece), piece)
                self.transport.write(piece)
                if not self.writable.is_set():
                    await self._wait_until_read()
            if chunked and not self.is_lost:
                self.transport.write(b"0\r\n\r\n")
            if ends_at_close and not self.is_lost:
                set_reset_on_close(self.transport, False)
        except BodyBrokenError:
            return False
        finally:
            await body.aclose()
        return not closes

    async def _wait_until_read(self):
        """Wait until the caller has read on; disconnect one that reads nothing."""
        while not self.writable.is_set():
            unread = self.transport.get_write_buffer_size()
            # What the target sends on meanwhile is held by its connection.
            self._unsent = unread + MAX_BUFFERED_BYTES
            self._note_held()
            self._make_room()
            try:
                async with asyncio.timeout(self.bounds().idle_timeout):
                    await self.writable.wait()
            except TimeoutError:
                if self.transport.get_write_buffer_size() >= unread:
                    self.close_for_room("an answer is not read")
                    break
        self._unsent = 0
        if not self.is_lost:
            self._note_held()

    def _head(self, status, headers, closes):
        phrase = REASON_PHRASES.get(status, "Unknown")
        lines = [f"HTTP/1.1 {status} {phrase}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if closes:
            lines.append("connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def _close(self):
        if not self.is_lost:
            self.transport.close()

    def _set_timer(self):
        if self.timer is not None or self.is_lost:
            return
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self._time_left(), self._check_timeouts)

    def _time_left(self):
        bounds = self.bounds()
        if self._in_head and self._first_byte_at is not None:
            due = self._first_byte_at + bounds.header_timeout
        else:
            due = self._last_byte_at + bounds.idle_timeout
        return max(0.02, due - self.clock())

    def _check_timeouts(self):
        self.timer = None
        is_busy = self.task is not None or self.current is not None
        if self.is_lost or is_busy:
            return
        if self._is_timed_out():
            if self._first_byte_at is not None:
                self._refuse(408, "The request did not arrive in time.")
            else:
                self._close()
            return
        self._set_timer()

    def _is_timed_out(self):
        bounds, now = self.bounds(), self.clock()
        if self._in_head and self._first_byte_at is not None:
            return now >= self._first_byte_at + bounds.header_timeout
        return now >= self._last_byte_at + bounds.idle_timeout
