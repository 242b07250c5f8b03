"""Server end of links that announces the address of a proxy."""

import asyncio

from kumquatwalk.address import Address
from kumquatwalk.mesh.link_server import LinkServer
from kumquatwalk.standin.loop_watchdog import watch_loop
from kumquatwalk.tasks import keep_running

__all__ = ["make_proxied_type"]


def make_proxied_type(listener: Address) -> type[LinkServer]:
    """Return a type whose servers listen elsewhere than they announce.

    Args:
        listener: Address that the servers listen on.
    """

    class ProxiedLinkServer(LinkServer):
        """Announces the port that it was made with."""

        def __init__(self, address: Address, *arguments):
            super().__init__(listener, *arguments)
            self._announced = address
            self._watchdog: asyncio.Task | None = None

        async def start(self) -> None:
            """Start listening, and report when the event loop is blocked."""
            await super().start()
            self._watchdog = keep_running(watch_loop, "loop_watchdog")

        @property
        def port(self) -> int:
            """TCP port that the proxy listens on."""
            return self._announced.port

    return ProxiedLinkServer
