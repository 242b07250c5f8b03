"""Sockets of listeners, bound before the process connects to others."""

import asyncio
import errno
import socket

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level

__all__ = ["BIND_WAIT_S", "Listener"]

# Time for which a port that is in use, or an address that the VM does not have
# yet, is waited for, in seconds. A closed connection may hold a port for a
# minute (TIME_WAIT).
BIND_WAIT_S = 120.0
_POLL_S = 0.05
# Errors that pass: the last process, or a connection from this port, has not
# ended; the network interface is not up yet; descriptors or memory are short.
_PASSING_ERRORS = frozenset(
    (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)


class Listener:
    """Address to listen on.

    A bound socket keeps connections of this and other processes from taking
    the port, and refuses connections until it listens.

    Args:
        address: The address.
        wait_s: Time for which an address that cannot be had is waited for, in
            seconds.
    """

    def __init__(self, address: Address, wait_s: float = BIND_WAIT_S):
        self._address = address
        self._wait_s = wait_s
        self._socket: socket.socket | None = None

    async def bind(self) -> None:
        """Bind the socket; does nothing if it is bound.

        Raises:
            OSError: The address could not be had in time.
        """
        if self._socket is not None:
            return
        began_at = read_now()
        has_waited = False
        while True:
            try:
                self._socket = _bind_socket(self._address)
                break
            except OSError as error:
                is_late = read_now() - began_at >= self._wait_s
                if error.errno not in _PASSING_ERRORS or is_late:
                    raise
                if not has_waited:
                    log_event(
                        "listener_waits",
                        Level.WARNING,
                        address=self._address,
                        error=error.strerror,
                    )
                has_waited = True
            await asyncio.sleep(_POLL_S)
        if has_waited:
            log_event(
                "listener_bound",
                address=self._address,
                waited_s=read_now() - began_at,
            )

    async def listen(self, protocol_factory, backlog: int) -> asyncio.Server:
        """Accept connections, and return the server that does so.

        Args:
            protocol_factory: Creates the protocol of a connection.
            backlog: Number of connections that may wait to be accepted.

        Raises:
            OSError: The address could not be had in time.
        """
        loop = asyncio.get_running_loop()
        give_up_at = read_now() + self._wait_s
        while True:
            await self.bind()
            sock, self._socket = self._socket, None
            try:
                # The loop of uvloop does not raise the error of its own call.
                sock.listen(backlog)
                return await loop.create_server(
                    protocol_factory, sock=sock, backlog=backlog
                )
            except OSError as error:
                sock.close()
                # Another process may have bound the port too, and listens now.
                is_late = read_now() >= give_up_at
                if error.errno not in _PASSING_ERRORS or is_late:
                    raise
            await asyncio.sleep(_POLL_S)

    def close(self) -> None:
        """Give up a bound socket that does not listen."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _bind_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        # Connections of the last process that are closing do not count.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return sock
