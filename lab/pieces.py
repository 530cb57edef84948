"""Processor time a byte of each parser, by the size of the pieces that arrive.

Run with ``python -m lab.pieces``. The pieces are chunks of a chunked body, or what one
read returns.
"""

import time
import types

from skylarkpost.gateway.event_buffer import EventBuffer
from skylarkpost.routing import CallerBounds
from skylarkpost.targets import EventParser
from skylarkpost.transport import CallerConnection, TargetConnection
from skylarkpost.transport.sockets import READ_BYTES

__all__ = ["CASES", "cost_per_byte", "main"]

PIECE_BYTES = (1, 16, 256, 4096, 65_536)
TOTAL_BYTES = 400_000
CASES = {}


def case(name):
    """Return a decorator that registers a case under a name."""

    def register(function):
        CASES[name] = function
        return function

    return register


@case("gateway, events of a stream without an end")
def feed_event_buffer(size):
    """Feed pieces of one endless event."""
    buffer = EventBuffer()
    for _ in range(TOTAL_BYTES // size):
        buffer.add(b"x" * size)


@case("API front end, events of a stream without an end")
def feed_event_parser(size):
    """Feed pieces of one endless line."""
    parser = EventParser()
    for _ in range(TOTAL_BYTES // size):
        parser.feed(b"x" * size)


@case("gateway, chunks of a target's answer")
def feed_target_connection(size):
    """Feed chunks of an answer, in reads as the event loop makes them."""
    connection = TargetConnection(clock=time.monotonic)
    connection.connection_made(_transport())
    connection.send(b"")
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    _feed(connection, head + _chunks(size))


@case("gateway, chunks of a caller's body")
def feed_caller_connection(size):
    """Feed chunks of a request, in reads as the event loop makes them."""
    connection = CallerConnection(
        handler=None,
        bounds=CallerBounds,
        clock=time.monotonic,
        connections=set(),
        is_closing=lambda: False,
    )
    connection.connection_made(_transport())
    connection.timer.cancel()
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    _feed(connection, head + _chunks(size))


def _transport():
    nothing = types.SimpleNamespace(cancel=lambda: None)
    return types.SimpleNamespace(
        get_extra_info=lambda name: None,
        pause_reading=lambda: nothing,
        resume_reading=lambda: nothing,
        write=lambda data: None,
        abort=lambda: None,
    )


def _chunks(size):
    return b"%x\r\n%b\r\n" % (size, b"x" * size) * (TOTAL_BYTES // size)


def _feed(connection, data):
    for at in range(0, len(data), READ_BYTES):
        connection.data_received(data[at : at + READ_BYTES])


def cost_per_byte(function, size):
    """Return the processor time a byte of the pieces.

    Parameters
    ----------
    function : callable
        A case; takes the size.
    size : int
        Size of a piece, in bytes.

    Returns
    -------
    float
        Nanoseconds.
    """
    began = time.process_time()
    function(size)
    return (time.process_time() - began) * 1e9 / TOTAL_BYTES


async def main():
    """Print a table of all cases."""
    print("nanoseconds a byte, by bytes of a piece")
    print(f"{'':50}" + "".join(f"{size:>9}" for size in PIECE_BYTES))
    for name, function in CASES.items():
        costs = [cost_per_byte(function, size) for size in PIECE_BYTES]
        print(f"{name:50}" + "".join(f"{cost:9.1f}" for cost in costs))


if __name__ == "__main__":
    import asyncio

    asyncio.run(main())
