"""TCP socket options that detect an unresponsive peer."""

import asyncio
import socket

__all__ = ["set_liveness_options"]

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
