"""Options of TCP sockets, and resets."""

import socket
import struct

__all__ = ["configure_socket", "reset"]

# On, and for no time: a close sends a reset.
NO_LINGER = struct.pack("ii", 1, 0)
# Probes end a silent connection after some five seconds without traffic.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3


def reset(transport):
    """Close a connection so that the other side sees it broken off.

    Parameters
    ----------
    transport : asyncio.Transport
        A TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def configure_socket(sock, *, user_timeout, idle=KEEP_ALIVE_IDLE_S):
    """Have the kernel notice a peer that went silent.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    user_timeout : float
        Longest time that sent bytes may stay unacknowledged, in seconds.
    idle : int
        Silence before the first probe, in seconds.
    """
    milliseconds = int(user_timeout * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
