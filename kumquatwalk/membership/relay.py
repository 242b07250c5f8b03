"""A probe made on behalf of another node."""

import dataclasses

from kumquatwalk.membership.address import Address

__all__ = ["Relay"]


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A probe made on behalf of another node.

    Attributes:
        requester: Address of the node that asked.
        sequence: The requester's number for the probe.
        expires_at: When to forget it, monotonic seconds.
    """

    requester: Address
    sequence: int
    expires_at: float
