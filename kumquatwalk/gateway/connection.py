"""HTTP connection that stays with its thread while requests follow."""

import select
import socket

from cheroot import server as cheroot_server

from kumquatwalk.gateway.stream import make_stream
from kumquatwalk.link.stream import tune_socket

__all__ = ["HttpConnection"]

_STAY_MS = 20


class HttpConnection(cheroot_server.HTTPConnection):
    """Connection whose next request is awaited for a short time.

    Saves the selector and a thread change for each request of a busy
    connection.
    """

    def __init__(self, server, sock: socket.socket, _makefile=None):
        super().__init__(server, sock, make_stream)
        tune_socket(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def communicate(self) -> bool:
        """Serve requests until none follows soon.

        Returns:
            Whether the connection stays open.
        """
        while super().communicate():
            if not self._await_next():
                return True
        return False

    def _await_next(self) -> bool:
        if self.rfile.has_data():
            return True
        if self.server.requests.is_short:
            return False
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        return bool(poll.poll(_STAY_MS))
