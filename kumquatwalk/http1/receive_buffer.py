"""Size of the kernel's buffer for received data of a connection."""

import asyncio
import socket

__all__ = ["limit_received_bytes"]


def limit_received_bytes(transport: asyncio.BaseTransport, size: int) -> None:
    """Limit what the kernel holds of received data that is not read.

    The kernel doubles the size for its own use, and otherwise lets the buffer
    of a fast connection grow to several megabytes (tcp(7), ``tcp_rmem``). Does
    nothing if the connection has already been lost.

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
