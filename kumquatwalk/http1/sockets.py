"""TCP socket options: to detect an unresponsive peer, to bound memory."""

import asyncio
import socket

__all__ = ["limit_received_bytes", "set_liveness_options"]

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


def limit_received_bytes(transport: asyncio.BaseTransport, size: int) -> None:
    """Limit what the kernel holds of received data that is not read.

    The kernel doubles the size for its own use, and otherwise lets the buffer
    of a fast connection grow to several megabytes. Does nothing if the
    connection has already been lost.

    Args:
        transport: Transport of a TCP connection.
        size: Size of the receive buffer, in bytes.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    except OSError:
        return  # asyncio reports the loss to the protocol
