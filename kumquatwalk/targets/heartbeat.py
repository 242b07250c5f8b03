"""Heartbeat by which a target reports its state."""

import dataclasses
import enum

from kumquatwalk.address import Address

__all__ = ["Heartbeat", "TargetState"]


class TargetState(enum.Enum):
    """Whether a target accepts new requests.

    ``UNKNOWN`` before the first heartbeat or probe; ``GONE`` after the target
    has deregistered.
    """

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of a target.

    Attributes:
        target_id: Identifier of the target; usually new with each start.
        service: Service that the target belongs to.
        address: Address at which the target serves.
        availability_zone: Zone of the target.
        slots: Number of requests that it runs at once.
        state: READY or DRAINING.
        cold_left_s: Remaining time of its cold start, in seconds.
        incarnation: Start time of the target in Unix milliseconds; 0 when it
            is not reported.
        sequence: Sequence number of the heartbeat within the incarnation.
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
