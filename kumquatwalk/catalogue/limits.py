"""Limits of a catalogue entry."""

import dataclasses

__all__ = ["Limits"]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one entry.

    Attributes:
        in_flight: Concurrency limit of the entry across the fleet; each
            target's node enforces an equal share.
        rate_per_s: Rate limit of the entry across the fleet, in calls started
            per second; shared in the same way.
        retries: Retry tokens of one request that enters the mesh at this
            entry; they bound the retries of its whole call chain.
        time_ms: Time limit of one request that enters the mesh at this entry,
            in milliseconds.
    """

    in_flight: int
    rate_per_s: float
    retries: int
    time_ms: int
