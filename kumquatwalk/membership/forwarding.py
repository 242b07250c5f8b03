"""A broadcast that is being forwarded."""

import dataclasses

__all__ = ["Forwarding"]


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarding:
    """A broadcast that is being forwarded.

    Attributes:
        broadcast_id: Identifier of the broadcast.
        expires_at: When to stop forwarding it, monotonic seconds.
    """

    broadcast_id: int
    expires_at: float
