"""TCP socket options and connection resets."""

import asyncio
import select
import socket
import struct

__all__ = [
    "READ_BYTES",
    "BoundedReads",
    "configure_socket",
    "has_unread",
    "reset",
    "set_reset_on_close",
]

# Bytes that a connection processes before other tasks get a turn.
READ_BYTES = 65_536
# Shared, since bytes are processed before the next read of any connection.
READ_BUFFER = memoryview(bytearray(READ_BYTES))

# SO_LINGER on with timeout 0: close sends a reset.
NO_LINGER = struct.pack("ii", 1, 0)
DEFAULT_LINGER = struct.pack("ii", 0, 0)
# Keep-alive probes end a dead connection after about five seconds without traffic.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol that receives a bounded number of bytes a turn of the event loop."""

    def get_buffer(self, sizehint):
        """Return the buffer to read into. See `asyncio.BufferedProtocol`."""
        return READ_BUFFER

    def buffer_updated(self, nbytes):
        """Process what was read. See `asyncio.BufferedProtocol`."""
        self.data_received(READ_BUFFER[:nbytes])

    def data_received(self, data):
        """Process received bytes.

        Parameters
        ----------
        data : memoryview
            The bytes; valid only during the call.
        """
        raise NotImplementedError


def reset(transport):
    """Close a connection with a TCP reset.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of a TCP connection.
    """
    set_reset_on_close(transport, True)
    transport.abort()


def has_unread(transport):
    """Return whether bytes, or the end, of a connection have arrived and weren't read.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of a TCP connection.

    Returns
    -------
    bool
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def set_reset_on_close(transport, resets):
    """Select how the kernel closes a connection, also if the process ends.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of a TCP connection.
    resets : bool
        Whether a close discards unsent bytes and sends a reset.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = NO_LINGER if resets else DEFAULT_LINGER
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def configure_socket(sock, *, user_timeout, idle=KEEP_ALIVE_IDLE_S):
    """Set the options by which the kernel detects a dead peer.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    user_timeout : float
        TCP_USER_TIMEOUT: maximum time that sent bytes stay unacknowledged, in seconds.
    idle : int
        Idle time before the first keep-alive probe, in seconds.
    """
    milliseconds = int(user_timeout * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
