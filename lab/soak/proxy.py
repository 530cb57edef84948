"""Loopback TCP proxy that delays, blocks and resets connections."""

import asyncio
import contextlib

from skylarkpost.transport.sockets import reset

__all__ = ["FaultyLink"]

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.02


class FaultyLink:
    """Proxy for connections to one address, with injectable faults.

    Parameters
    ----------
    address : str or None
        ``IP:PORT`` to connect to; may be set later.

    Attributes
    ----------
    delay : float
        Delay of each chunk of data, in seconds.
    cut_forward, cut_back : bool
        Whether data to and from the address are blocked. Connections that
        carried data meanwhile stay silent permanently.
    """

    def __init__(self, address=None):
        self.address = address
        self.delay = 0.0
        self.cut_forward = False
        self.cut_back = False
        self.connections = set()
        self.own_address = None

    @contextlib.asynccontextmanager
    async def serving(self):
        """Listen on a free port; yield its ``IP:PORT``."""
        server = await asyncio.start_server(self._connect, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self.own_address = f"{HOST}:{port}"
        try:
            yield self.own_address
        finally:
            server.close()
            self.reset()

    def reset(self):
        """Reset all open connections, on both sides."""
        for writer in list(self.connections):
            with contextlib.suppress(OSError):
                reset(writer.transport)

    async def _connect(self, reader, writer):
        while self.cut_forward and self.cut_back:
            await asyncio.sleep(POLL_INTERVAL_S)
        host, _, port = self.address.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.connections.update((writer, far_writer))
        pumps = (
            self._pump(reader, far_writer, lambda: self.cut_forward),
            self._pump(far_reader, writer, lambda: self.cut_back),
        )
        try:
            # The callback of asyncio's streams reports a cancelled task as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*pumps)
        finally:
            for each in (writer, far_writer):
                self.connections.discard(each)
                each.transport.abort()

    async def _pump(self, reader, writer, is_cut):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if is_cut():
                    # As if a middlebox had lost the state of the connection.
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
