"""Stream of one answer on one connection to an engine."""

import asyncio

import aiohttp

from skylarkpost.targets.outcomes import (
    StreamBroken,
    StreamEnded,
    StreamEvent,
)
from skylarkpost.targets.sse import EventParser

__all__ = ["EngineStream"]

DONE = b"[DONE]"
# Bytes that are parsed before other tasks get a turn.
MAX_BYTES_A_TURN = 16_384


class EngineStream:
    """Asynchronous iterator over the events of a streamed answer.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response whose headers were received. Its read timeout detects a
        connection that stops responding.

    Examples
    --------
    ::

        async for item in stream:
            match item:
                case StreamEvent(id=number, data=data):
                    ...
                case StreamKeepAlive():
                    ...
                case StreamEnded():  # nothing comes after it
                    ...
                case StreamBroken(detail=detail):  # nothing comes after it
                    ...
    """

    def __init__(self, *, response):
        self.response = response

    def __aiter__(self):
        return self._items()

    def close(self):
        """Close the connection; the engine cancels the stream after a delay."""
        self.response.close()

    async def _items(self):
        parser = EventParser()
        try:
            while True:
                piece = await self._read_piece()
                if isinstance(piece, StreamBroken):
                    yield piece
                    return
                for start in range(0, len(piece), MAX_BYTES_A_TURN):
                    for item in parser.feed(piece[start : start + MAX_BYTES_A_TURN]):
                        yield item
                        if isinstance(item, StreamEvent) and item.data == DONE:
                            yield StreamEnded()
                            return
                    if parser.oversized:
                        yield StreamBroken(detail="an event is too long")
                        return
                    # Reading what has already arrived doesn't wait.
                    await asyncio.sleep(0)
        finally:
            self.close()

    async def _read_piece(self):
        try:
            piece = await self.response.content.readany()
        except TimeoutError:
            return StreamBroken(detail="silent")
        except (aiohttp.ClientError, OSError) as error:
            return StreamBroken(detail=f"connection lost: {error!r}")
        return piece or StreamBroken(detail="ended before its last event")
