"""Options that make a silent peer show itself."""

import asyncio
import socket

__all__ = ["set_liveness_options"]

# Idle time before the first keep-alive probe, and between probes, in seconds;
# the lowest that the socket option takes.
KEEPALIVE_IDLE_S = 1
# Probes without a reply after which the connection is broken.
KEEPALIVE_PROBES = 2
# Time for which sent bytes may stay unacknowledged, in milliseconds: a
# retransmission or two on the links in view, which take under 60 ms one way.
USER_TIMEOUT_MS = 2500


def set_liveness_options(transport: asyncio.BaseTransport) -> None:
    """Break the connection when the other end falls silent.

    Args:
        transport: Transport of a TCP connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    try:
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    except OSError:
        # The connection has ended already; its protocol is told of that.
        return
