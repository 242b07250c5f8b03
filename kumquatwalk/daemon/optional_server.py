"""Server that the daemon does not need to serve callers."""

import asyncio

from kumquatwalk.http1.server import HttpServer
from kumquatwalk.tasks import keep_running

__all__ = ["OptionalServer"]


class OptionalServer:
    """Starts a server once its address can be had, beside the daemon's work.

    Args:
        server: The server, not started.
    """

    def __init__(self, server: HttpServer):
        self._server = server
        self._starting: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to start the server; does not wait until it listens."""
        self._starting = keep_running(self._server.start, "optional_server")

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._starting is not None:
            self._starting.cancel()
        await self._server.close()
