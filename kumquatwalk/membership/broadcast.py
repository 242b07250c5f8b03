"""An opaque payload that is spread to all members."""

import dataclasses

from kumquatwalk.membership.broadcast_kind import BroadcastKind

__all__ = ["Broadcast", "MAX_PAYLOAD_BYTES"]

MAX_PAYLOAD_BYTES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Broadcast:
    """An opaque payload that is spread to all members.

    Attributes:
        broadcast_id: Random 64-bit number that identifies the broadcast.
        kind: What the payload means to its receivers.
        payload: At most ``MAX_PAYLOAD_BYTES`` bytes.
    """

    broadcast_id: int
    kind: BroadcastKind
    payload: bytes
