"""Address of a UDP endpoint."""

from typing import NamedTuple

__all__ = ["Address"]


class Address(NamedTuple):
    """IP number and port; usable as a socket address.

    Attributes:
        host: IP number.
        port: UDP port.
    """

    host: str
    port: int
