"""HTTP server for callers, targets and checks."""

import asyncio

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.http1.caller_connection import CallerConnection
from kumquatwalk.http1.caller_connection import Handler
from kumquatwalk.tasks import start_task

__all__ = ["HttpServer"]

# Connections that may wait to be accepted; above a burst's arrivals between
# two turns of the event loop.
BACKLOG = 1024
# Time between checks of idle connections, in seconds; well below the limits.
CHECK_INTERVAL_S = 0.5


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Args:
        address: Address to listen on.
        handler: Serves one request; cancelled when its caller goes away.
        limits: Limits on callers; may be replaced at any time.

    Attributes:
        limits: Limits for connections accepted from now on.
        is_stopping: Whether each answer ends its connection.
        connections: Open connections.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: CallerLimits = CallerLimits(),
    ):
        self._address = address
        self.handler = handler
        self.limits = limits
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._checker: asyncio.Task | None = None

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Begin to accept connections.

        Raises:
            OSError: The address cannot be listened on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
        )
        self._checker = start_task(
            self._check_connections(), "connection_check"
        )

    @property
    def requests_in_progress(self) -> int:
        """Connections on which a request is in progress."""
        return sum(not c.is_idle for c in self.connections)

    def stop_accepting(self) -> None:
        """Refuse new connections and end idle ones.

        Requests in progress go on; each ends its connection.
        """
        self.is_stopping = True
        self._server.close()
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._checker is not None:
            self._checker.cancel()
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.abort()

    async def _check_connections(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = read_now()
            for connection in tuple(self.connections):
                connection.check_timeouts(now)
