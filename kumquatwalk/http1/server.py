"""HTTP server for callers, targets and health checks."""

import asyncio

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.caller_connection import CallerConnection
from kumquatwalk.http1.caller_connection import Handler
from kumquatwalk.tasks import keep_running

__all__ = ["HttpServer"]

# Connections that may wait to be accepted; more than a burst opens between two
# iterations of the event loop.
BACKLOG = 1024
# Interval between checks of connection timeouts, in seconds; well below the
# timeouts.
TIMEOUT_CHECK_INTERVAL_S = 1.0


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Args:
        address: Address to listen on.
        handler: Serves one request; cancelled when the caller closes its
            connection.
        limits: Size limits and timeouts for callers' connections.
        budget: Bytes of request bodies that the process may hold; None for no
            bound.

    Attributes:
        handler: Handler of the requests.
        limits: Size limits and timeouts; may be replaced at any time. Open
            connections keep their size limits and use the new timeouts.
        budget: Bytes of request bodies that the process may hold.
        is_stopping: Whether connections are closed after their next response.
        connections: Open connections.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        limits: CallerLimits = CallerLimits(),
        budget: ByteBudget | None = None,
    ):
        self._address = address
        self.handler = handler
        self.limits = limits
        self.budget = budget
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task | None = None

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start listening for connections.

        Raises:
            OSError: The server cannot listen on the address.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
        )
        self._timeout_task = keep_running(
            self._check_timeouts, "connection_check"
        )

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress or expected."""
        return sum(not c.is_idle for c in self.connections)

    def stop_accepting(self) -> None:
        """Stop listening and close idle connections.

        Requests in progress continue; each connection closes after its next
        response.
        """
        self.is_stopping = True
        self._server.close()
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.abort()

    async def _check_timeouts(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = read_now()
            for connection in tuple(self.connections):
                connection.check_timeouts(now)
