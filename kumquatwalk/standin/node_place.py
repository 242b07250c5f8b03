"""Place of a node in a simulated deployment."""

import dataclasses

__all__ = ["NodePlace"]


@dataclasses.dataclass(frozen=True, slots=True)
class NodePlace:
    """What a node is started as.

    Attributes:
        name: Name of the node.
        service: Service of the target.
        zone: Availability zone.
        slots: Number of requests that the target runs at once.
        speed: Speed of the target; 1 for a usual one.
    """

    name: str
    service: str
    zone: str
    slots: int = 64
    speed: float = 1.0
