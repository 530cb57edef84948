"""Plain HTTP/1.1 over asyncio streams, for stand-ins and clients."""

import asyncio
import contextlib
from typing import NamedTuple
from urllib.parse import parse_qsl

__all__ = [
    "Answer",
    "HttpServer",
    "KeptConnection",
    "Request",
    "ask",
    "format_head",
]

ENDED = (ConnectionError, asyncio.IncompleteReadError, OSError)


class Request(NamedTuple):
    """A request as a stand-in received it."""

    method: str
    target: str
    path: str
    query: dict
    headers: dict
    body: bytes


class Answer(NamedTuple):
    """What a client saw of an answer.

    Attributes
    ----------
    status : int
        HTTP status; 0 if no head was received.
    headers : dict of str to str
        By lower-case name.
    body : bytes
        What was received of the body.
    is_complete : bool
        Whether the answer ended as its framing says.
    """

    status: int
    headers: dict
    body: bytes
    is_complete: bool


def format_head(status, headers):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def parse_headers(lines):
    """Return the headers of a head by lower-case name."""
    headers = {}
    for each in lines:
        name, _, value = each.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, host):
        self.host = host
        self.port = None
        self.server = None
        self.writers = set()

    @property
    def address(self):
        """The server's ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        """Listen, on a free port unless one is given."""
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, request, writer):
        """Return status and body; None closes the connection."""
        raise NotImplementedError

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        with contextlib.suppress(*ENDED):
            while await self.serve_one(reader, writer):
                pass
        self.writers.discard(writer)
        writer.close()

    async def serve_one(self, reader, writer):
        """Serve one request; return whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.strip().split("\r\n")
        method, target, _ = line.split(" ")
        headers = parse_headers(lines)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        path, _, query = target.partition("?")
        request = Request(method, target, path, dict(parse_qsl(query)), headers, body)
        answer = await self.handle(request, writer)
        if answer is None:
            return False
        if answer is True:
            return True
        status, content = answer
        writer.write(format_head(status, {"Content-Length": len(content)}) + content)
        await writer.drain()
        return True


class KeptConnection:
    """A client's connection that carries one request after the other."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def ask(self, method, target, headers, body=b"", *, timeout):
        """Send one request and read the answer strictly; reconnect if needed."""
        status, found, content = 0, {}, bytearray()
        is_complete = False
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    host, _, port = self.address.rpartition(":")
                    opened = await asyncio.open_connection(host, int(port))
                    self.reader, self.writer = opened
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines += [f"Content-Length: {len(body)}", "", ""]
                self.writer.write("\r\n".join(lines).encode() + body)
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *rest = head.strip().split("\r\n")
                status, found = int(first.split(" ")[1]), parse_headers(rest)
                await read_body(self.reader, found, content)
                is_complete = True
        except (TimeoutError, *ENDED):
            pass
        finally:
            if not is_complete or "close" in found.get("connection", ""):
                self.close()
        return Answer(status, found, bytes(content), is_complete)

    def close(self):
        """Close the connection; the next request opens another."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def ask(address, method, target, headers, body=b"", *, timeout):
    """Send one request on a connection of its own."""
    connection = KeptConnection(address)
    try:
        return await connection.ask(method, target, headers, body, timeout=timeout)
    finally:
        connection.close()


async def read_body(reader, headers, content):
    """Read a body as its framing says; raise if it ends early."""
    if "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise ConnectionError("ended inside the body")
            content += data
            left -= len(data)
        return
    if headers.get("transfer-encoding", "").lower() != "chunked":
        while data := await reader.read(65536):
            content += data
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        content += await reader.readexactly(size)
        await reader.readexactly(2)
