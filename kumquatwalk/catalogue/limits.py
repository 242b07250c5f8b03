"""Limits of a catalogue entry."""

import dataclasses

__all__ = ["Limits"]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one entry.

    Attributes:
        in_flight: Calls of the entry in progress at once in the whole fleet;
            each target's node enforces an equal share.
        rate_per_s: Calls of the entry started in a second in the whole fleet;
            shared in the same way.
        retries: Retry tokens given to one outside request for this entry;
            they bound the retries of its whole chain.
        time_ms: Longest time for one outside request, in milliseconds.
    """

    in_flight: int
    rate_per_s: float
    retries: int
    time_ms: int
