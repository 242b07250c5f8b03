"""Answer to the first message on a link."""

import dataclasses

from kumquatwalk.link.hello import PROTOCOL_VERSION

__all__ = ["Welcome"]


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Introduction of the accepting node.

    Attributes:
        node_id: Name of the accepting node.
        incarnation: Incarnation of its process.
        clock_us: Its monotonic clock in microseconds. The peer stamps calls
            with it, so that the accepting node can tell a delayed copy.
        protocol: Version of the link protocol it speaks.
    """

    node_id: str
    incarnation: int
    clock_us: int
    protocol: int = PROTOCOL_VERSION
