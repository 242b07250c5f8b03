"""TCP sockets: unresponsive peers, untaken bytes, end of the stream."""

import asyncio
import contextlib
import fcntl
import socket
import sys
import termios

__all__ = ["count_untaken_bytes", "end_stream", "set_liveness_options"]

# Idle time before the first keep-alive probe and interval between probes, in
# seconds; the minimum that the socket options accept.
KEEPALIVE_IDLE_S = 1
# Unanswered probes after which the connection is reset.
KEEPALIVE_PROBES = 2
# Time for which sent data may stay unacknowledged, in milliseconds. It allows
# one or two retransmissions on the expected links, whose one-way delay is below
# 60 ms.
USER_TIMEOUT_MS = 2500


def set_liveness_options(
    transport: asyncio.BaseTransport, has_keepalive: bool = True
) -> None:
    """Make the connection fail soon after its peer stops responding.

    Sets TCP keep-alive and a limit on unacknowledged data, and disables Nagle's
    algorithm. Does nothing if the connection has already been lost.

    Args:
        transport: Transport of a TCP connection.
        has_keepalive: Whether to probe the peer of an idle connection; needless
            where the protocol itself sends data all the time.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    try:
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        if has_keepalive:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
            sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
            sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        # The connection has been lost already; asyncio reports that to the
        # protocol.
        return


def count_untaken_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the number of written bytes that the peer has not acknowledged.

    Counts the bytes in the transport's buffer and those in the kernel (tcp(7),
    ``SIOCOUTQ``); only the former where the kernel does not tell. The end of
    the stream, if written, may count as one byte.

    Args:
        transport: Transport of an open TCP connection.
    """
    size = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return size
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return size
    return size + int.from_bytes(raw, sys.byteorder)


def end_stream(transport: asyncio.WriteTransport) -> None:
    """End the sending side of a connection once its buffer is empty.

    Does nothing if the connection has already been lost.

    Args:
        transport: Transport of a TCP connection that is not closing.
    """
    # A reset that the event loop has yet to read is reported to the protocol.
    with contextlib.suppress(OSError):
        transport.write_eof()
