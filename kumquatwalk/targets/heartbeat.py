"""Heartbeat: what a target says of itself."""

import dataclasses
import enum

from kumquatwalk.address import Address

__all__ = ["Heartbeat", "TargetState"]


class TargetState(enum.Enum):
    """Whether a target takes new work.

    ``UNKNOWN`` until the target has been heard of; ``GONE`` once it has
    deregistered.
    """

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of a target.

    Attributes:
        target_id: Identifier of the target; mostly new with each start.
        service: Service that the target belongs to.
        address: Address at which the target serves.
        availability_zone: Zone of the target.
        slots: Requests that it runs at once.
        state: READY or DRAINING.
        cold_left_s: How much longer it is slow after its start, in seconds.
        incarnation: Start of the target in Unix milliseconds; 0 when the
            target does not say.
        sequence: Number of the heartbeat within the incarnation.
    """

    target_id: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    state: TargetState
    cold_left_s: float
    incarnation: int
    sequence: int
