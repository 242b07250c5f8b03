"""TCP sockets: unresponsive peers, untaken bytes, end of the stream."""

import asyncio
import fcntl
import socket
import sys
import termios

__all__ = [
    "USER_TIMEOUT_MS",
    "count_acknowledged_bytes",
    "count_unread_bytes",
    "count_untaken_bytes",
    "end_stream",
    "is_closed",
    "set_liveness_options",
    "shut_down_sending",
]

# Idle time before the first keep-alive probe and interval between probes, in
# seconds; the minimum that the socket options accept.
KEEPALIVE_IDLE_S = 1
# Unanswered probes after which the connection is reset.
KEEPALIVE_PROBES = 2
# Time for which sent data may stay unacknowledged, in milliseconds. It allows
# one or two retransmissions on the expected links, whose one-way delay is below
# 60 ms.
USER_TIMEOUT_MS = 2500
# First byte of ``TCP_INFO`` once a connection is closed, and offset and size of
# ``tcpi_bytes_acked`` in it (linux/tcp.h).
TCP_CLOSE = 7
BYTES_ACKED_OFFSET = 120
BYTES_ACKED_SIZE = 8


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
    return size + _ask_kernel(transport, termios.TIOCOUTQ)


def count_unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the number of bytes that have come and are not read yet.

    Asks the kernel (tcp(7), ``SIOCINQ``); 0 where it does not tell.

    Args:
        transport: Transport of an open TCP connection.
    """
    return _ask_kernel(transport, termios.FIONREAD)


def count_acknowledged_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the bytes of a connection that the peer has acknowledged.

    Asks the kernel (tcp(7), ``TCP_INFO``), also once the peer has reset the
    connection. The end of the stream may count as one byte.

    Args:
        transport: Transport of a TCP connection.

    Returns:
        The number since the connection was opened; None where the kernel does
        not tell.
    """
    end = BYTES_ACKED_OFFSET + BYTES_ACKED_SIZE
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    except (OSError, ValueError):
        return None
    if len(info) < end:
        return None
    return int.from_bytes(info[BYTES_ACKED_OFFSET:], sys.byteorder)


def is_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the kernel has closed a connection (tcp(7), ``TCP_INFO``).

    It has once the peer has reset it, or both sides have ended and all is
    acknowledged. An event loop that does not read is not told. False where the
    kernel does not tell.

    Args:
        transport: Transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, ValueError):
        return False
    return info[0] == TCP_CLOSE


def end_stream(transport: asyncio.WriteTransport) -> None:
    """Half-close a connection; does nothing if it has already been lost.

    A connection that its peer has reset cannot be half-closed, and some event
    loops raise ``OSError`` then.

    Args:
        transport: Transport of a TCP connection, open or not.
    """
    if transport.is_closing() or not transport.can_write_eof():
        return
    try:
        transport.write_eof()
    except OSError:
        # The event loop reports the loss to the protocol.
        return


def shut_down_sending(transport: asyncio.BaseTransport) -> bool:
    """Have the kernel take no more bytes of a connection.

    An event loop may go on to write its buffer for a turn after ``abort``, as
    libuv does.

    Args:
        transport: Transport of a TCP connection.

    Returns:
        Whether it is certain that no bytes of the buffer will be sent.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        # The wrapper of the event loop cannot shut down its socket.
        raw = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, 0, sock.fileno()
        )
    except (OSError, ValueError):
        return False
    try:
        raw.shutdown(socket.SHUT_WR)
    except OSError:
        return False
    finally:
        raw.detach()
    return True


def _ask_kernel(transport: asyncio.BaseTransport, request: int) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        raw = fcntl.ioctl(sock.fileno(), request, bytes(4))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(raw, sys.byteorder)
