"""Rate limit that a target names in a response."""

import dataclasses

__all__ = ["NO_RATE_LIMIT", "RateLimit"]


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a response says of the rate of requests that its target takes.

    Attributes:
        is_named: Whether it names a limit, readable or not.
        per_s: Requests per second from all nodes together, 0 or more; None
            when none is named or it cannot be read.
    """

    is_named: bool
    per_s: float | None


NO_RATE_LIMIT = RateLimit(False, None)
