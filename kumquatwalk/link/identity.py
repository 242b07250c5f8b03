"""Identity of a node on its links."""

import dataclasses

__all__ = ["Identity"]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name, incarnation and address of this node.

    Attributes:
        node_id: Name of the node.
        incarnation: Incarnation of its process.
        host: IP number of its VM.
    """

    node_id: str
    incarnation: int
    host: str
