"""Server of the stand-in platform."""

import threading

from cheroot import server

from kumquatwalk.platform.protocol import MAX_VALUE_BYTES
from kumquatwalk.standin.platform_gateway import PlatformGateway
from kumquatwalk.standin.platform_service import PlatformService

__all__ = ["PlatformServer"]

WORKER_THREADS = 64
STOP_TIMEOUT_S = 2.0


class PlatformServer:
    """Stand-in for the platform's key-value service, in memory.

    Args:
        host: IP number to listen on.
        port: TCP port; 0 lets the system choose one.

    Example:
        >>> platform = PlatformServer("127.0.0.1", 0)
        >>> platform.start()  # doctest: +SKIP
        >>> platform.address  # doctest: +SKIP
        '127.0.0.1:40123'
    """

    def __init__(self, host: str, port: int):
        self.service = PlatformService()
        self._server = server.HTTPServer(
            (host, port),
            gateway=PlatformGateway,
            minthreads=WORKER_THREADS,
            maxthreads=WORKER_THREADS,
        )
        self._server.service = self.service
        self._server.max_request_body_size = MAX_VALUE_BYTES
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        self._thread = threading.Thread(
            target=self._server.serve, name="standin-platform", daemon=True
        )

    @property
    def address(self) -> str:
        """Address listened on, as ``host:port``; known once started."""
        host, port = self._server.bind_addr
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port and begin to serve."""
        self._server.prepare()
        self._thread.start()

    def close(self) -> None:
        """End the waiting watches and stop serving."""
        self.service.stop()
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)
