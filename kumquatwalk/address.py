"""Network address of a process."""

import dataclasses

__all__ = ["Address"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Address:
    """IP address and port.

    Attributes:
        host: IP address.
        port: TCP or UDP port.

    Example:
        >>> str(Address("127.0.0.1", 8080))
        '127.0.0.1:8080'
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
