"""Load patterns: request rates, retries and target faults over time."""

import dataclasses
from collections.abc import Callable

__all__ = ["PATTERNS", "Pattern"]

# Start and end of a pattern's disturbance and length of the run, in seconds of
# virtual time.
DISTURBANCE_START_S = 5.0
DISTURBANCE_END_S = 11.0
RUN_LENGTH_S = 17.0


def _is_disturbed(now: float) -> bool:
    return DISTURBANCE_START_S <= now < DISTURBANCE_END_S


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """One load pattern.

    Attributes:
        name: Name on the command line.
        description: One line on the disturbance, used as the plot's title.
        rate_factor: Maps a time to the factor on the callers' request rates.
        retries: Maps the time of a request's first attempt to its maximum
            number of retries.
        run_time_factor: Maps the index of a target of the bottleneck service
            and a time to the factor on its run times.
        shed_probability: Maps the index of a target of the bottleneck service
            and a time to the probability that it refuses a call although it
            has capacity.
    """

    name: str
    description: str
    rate_factor: Callable[[float], float] = lambda now: 1.0
    retries: Callable[[float], int] = lambda now: 1
    run_time_factor: Callable[[int, float], float] = lambda number, now: 1.0
    shed_probability: Callable[[int, float], float] = lambda number, now: 0.0


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("calm", "steady load without faults"),
        Pattern(
            "surge",
            "three times the load on a bottleneck service deep in the chain",
            rate_factor=lambda now: 3.0 if _is_disturbed(now) else 1.0,
        ),
        Pattern(
            "retry_storm",
            "twice the load, and callers retry up to four times at once",
            rate_factor=lambda now: 2.0 if _is_disturbed(now) else 1.0,
            retries=lambda now: 4 if _is_disturbed(now) else 1,
        ),
        Pattern(
            "slow_third",
            "one of the bottleneck service's targets is six times slower",
            run_time_factor=lambda number, now: 6.0
            if number == 2 and _is_disturbed(now)
            else 1,
        ),
        Pattern(
            "cold_start",
            "the bottleneck's targets start cold, at 1.5 times the load",
            rate_factor=lambda now: 1.5 if _is_disturbed(now) else 1.0,
            run_time_factor=lambda number, now: 2.0
            if DISTURBANCE_START_S <= now < DISTURBANCE_START_S + 3
            else 1,
        ),
        Pattern(
            "partial_failure",
            "one target refuses half of its calls but reports itself healthy",
            shed_probability=lambda number, now: 0.5
            if not number and _is_disturbed(now)
            else 0,
        ),
    )
}
