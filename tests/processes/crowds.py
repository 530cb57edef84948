"""Callers that don't keep to any limit, and targets that serve them badly."""

import asyncio
import contextlib

from standins.gateway_configuration import HOST, KEY
from standins.gateway_target import GatewayTargetStandIn

__all__ = ["BODY_LIMIT", "SHAPES", "UnevenTarget", "crowd"]

# The largest body that the pages allow on any deployment.
BODY_LIMIT = 4_194_304
LONG_ANSWER_BYTES = 33_554_432
BLOCK = b"x" * 65_536
TINY_CHUNKS = 50_000
DEAF, LONG = "/safe/deaf", "/safe/long"
# After what it sends a caller stays, for this long at the most.
WRITE_TIMEOUT_S = 20.0


class UnevenTarget(GatewayTargetStandIn):
    """A plain target with one path that it never reads, and one long answer."""

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split()[1].decode()
        if path == DEAF:
            self.deaf_heads.append(head)
            await asyncio.Event().wait()
        if path != LONG:
            replay = asyncio.StreamReader()
            replay.feed_data(head)
            length = _length_of(head)
            replay.feed_data(await reader.readexactly(length))
            return await super()._serve_request(replay, writer)
        headers = {
            "X-Attempt-Id": _header_of(head, b"x-attempt-id"),
            "X-Server-Stamp": f"{self.name}.1",
            "Content-Length": str(LONG_ANSWER_BYTES),
        }
        writer.write(self._format_head(200, headers))
        for _ in range(LONG_ANSWER_BYTES // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()
        return True

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.deaf_heads = []


def _header_of(head, name):
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name + b":"):
            return line.partition(b":")[2].strip().decode()
    return ""


def _length_of(head):
    return int(_header_of(head, b"content-length") or 0)


def _head(number, *, path="/safe/", framing):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: crowd-{number}\r\n"
        f"X-Deadline-Ms: 60000\r\nAuthorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
    ).encode()


CHUNKED = "Transfer-Encoding: chunked"


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def large_chunks(number):
    """Large chunks that stop just short of the end."""
    yield _head(number, framing=CHUNKED)
    for _ in range(BODY_LIMIT // len(BLOCK) - 1):
        yield _chunk(BLOCK)
    yield _chunk(BLOCK[1:])


def stated_length(number):
    """A stated length, all but the last byte of it."""
    yield _head(number, framing=f"Content-Length: {BODY_LIMIT}")
    for _ in range(BODY_LIMIT // len(BLOCK) - 1):
        yield BLOCK
    yield BLOCK[1:]


def over_the_limit(number):
    """A body that goes on beyond the limit."""
    yield _head(number, framing=CHUNKED)
    for _ in range(2 * BODY_LIMIT // len(BLOCK)):
        yield _chunk(BLOCK)


def over_the_limit_announced(number):
    """A length far over the limit, and a part of the body."""
    yield _head(number, framing=f"Content-Length: {256 * BODY_LIMIT}")
    for _ in range(2 * BODY_LIMIT // len(BLOCK)):
        yield BLOCK


def tiny_chunks(number):
    """Chunks of one byte, without an end."""
    yield _head(number, framing=CHUNKED)
    for _ in range(TINY_CHUNKS // 1000):
        yield b"1\r\nx\r\n" * 1000


def unread_answers(number):
    """A long answer that isn't read."""
    yield _head(number, path=LONG, framing="Content-Length: 0")


def pipelined(number):
    """Complete requests behind a long answer that isn't read."""
    yield _head(number, path=LONG, framing="Content-Length: 0")
    for _ in range(7):
        yield _head(number, framing=f"Content-Length: {BODY_LIMIT}")
        for _ in range(BODY_LIMIT // len(BLOCK)):
            yield BLOCK


def deaf_target(number):
    """Complete requests to a target that doesn't read them."""
    yield _head(number, path=DEAF, framing=f"Content-Length: {BODY_LIMIT}")
    for _ in range(BODY_LIMIT // len(BLOCK)):
        yield BLOCK


def many_connections(number):
    """A small body that isn't complete, on many connections."""
    yield _head(number, framing=CHUNKED)
    yield _chunk(BLOCK[:1000])


# Callers of each shape.
SHAPES = {
    large_chunks: 60,
    stated_length: 60,
    over_the_limit: 60,
    over_the_limit_announced: 60,
    tiny_chunks: 60,
    unread_answers: 60,
    pipelined: 8,
    deaf_target: 60,
    many_connections: 600,
}


@contextlib.asynccontextmanager
async def crowd(address, shape, *, translate=lambda head: head):
    """Let the callers of a shape send what they have, and keep them connected.

    `translate` turns their heads, each in one piece, into those of another front end.
    """
    host, _, port = address.rpartition(":")
    writers = []

    async def call(number):
        try:
            _, writer = await asyncio.open_connection(host, int(port), limit=1)
        except OSError:
            return
        writers.append(writer)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                for piece in shape(number):
                    writer.write(translate(piece))
                    await writer.drain()

    try:
        await asyncio.gather(*(call(number) for number in range(SHAPES[shape])))
        yield
    finally:
        for writer in writers:
            writer.transport.abort()
