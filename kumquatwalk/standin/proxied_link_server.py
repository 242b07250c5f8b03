"""Server end of links that announces the address of a proxy."""

from kumquatwalk.address import Address
from kumquatwalk.mesh.link_server import LinkServer

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

        @property
        def port(self) -> int:
            """TCP port that the proxy listens on."""
            return self._announced.port

    return ProxiedLinkServer
