"""First message on a link, from the node that connects."""

import dataclasses

__all__ = ["Hello", "PROTOCOL_VERSION"]

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Introduction of the connecting node.

    Attributes:
        node_id: Name of the connecting node.
        incarnation: Incarnation of its process.
        host: IP number of its VM.
        protocol: Version of the link protocol it speaks.
    """

    node_id: str
    incarnation: int
    host: str
    protocol: int = PROTOCOL_VERSION
