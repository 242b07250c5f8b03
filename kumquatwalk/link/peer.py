"""Address of a node's link listener."""

import dataclasses

__all__ = ["Peer"]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Address of a peer's link listener.

    Attributes:
        node_id: Name of the peer.
        host: IP number of its VM.
        port: TCP port.
    """

    node_id: str
    host: str
    port: int
