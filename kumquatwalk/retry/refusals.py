"""Arrivals at targets and their refusals, counted by service."""

import collections
import dataclasses
import math

__all__ = [
    "RefusalCounter",
    "ServiceRefusals",
    "estimate_calls",
    "estimate_retries",
    "estimate_success",
]

# Span of the counts, in seconds: short, so that the end of the refusals shows
# in the next traffic report.
SPAN_S = 0.5
# Time without a refusal after which the arrivals of a service are not counted
# any more, in seconds.
IDLE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRefusals:
    """What one node observes of a service whose targets refuse calls.

    Attributes:
        service: Name of the service.
        arrivals_per_s: Calls of this node that reach its targets.
        refused_per_s: Those of them that the targets refuse as not run.
        retries_per_s: Retries that the node's part of the budget still allows.
        attempts_max: Attempts that a call to the service may make.
    """

    service: str
    arrivals_per_s: float
    refused_per_s: float
    retries_per_s: float = 0.0
    attempts_max: int = 1


@dataclasses.dataclass(slots=True)
class _Counts:
    refused_at: float
    attempts_max: int
    began_at: float
    arrivals: collections.deque[tuple[float, bool]] = dataclasses.field(
        default_factory=collections.deque
    )


class RefusalCounter:
    """Counts arrivals at the services whose targets refuse some of them.

    Nothing is counted for a service until one of its targets refuses a call.
    """

    def __init__(self):
        self._counts: dict[str, _Counts] = {}

    def record(
        self, service: str, is_refused: bool, attempts_max: int, now: float
    ) -> None:
        """Record a call that has reached a target.

        Args:
            service: Name of the service.
            is_refused: Whether the target refused it as not run.
            attempts_max: Attempts that the call may make.
            now: Current time, in seconds.
        """
        counts = self._counts.get(service)
        if counts is not None and now - counts.refused_at > IDLE_S:
            del self._counts[service]
            counts = None
        if counts is None:
            if not is_refused:
                return
            counts = self._counts[service] = _Counts(now, attempts_max, now)
        if is_refused:
            counts.refused_at = now
            counts.attempts_max = attempts_max
        counts.arrivals.append((now, is_refused))
        self._forget(counts, now)

    def measure_refusing(self, service: str, now: float) -> float | None:
        """Return for how long targets of a service have refused calls.

        Args:
            service: Name of the service.
            now: Current time, in seconds.

        Returns:
            The time in seconds; None if they have not lately.
        """
        counts = self._counts.get(service)
        if counts is None or now - counts.refused_at > IDLE_S:
            return None
        return now - counts.began_at

    def list_refusals(self, now: float) -> list[ServiceRefusals]:
        """Return the rates of the services that refuse calls.

        Args:
            now: Current time, in seconds.
        """
        found = []
        for service, counts in tuple(self._counts.items()):
            if now - counts.refused_at > IDLE_S:
                del self._counts[service]
                continue
            self._forget(counts, now)
            span_s = min(SPAN_S, max(now - counts.began_at, SPAN_S / 4))
            refused = sum(is_refused for _, is_refused in counts.arrivals)
            found.append(
                ServiceRefusals(
                    service,
                    len(counts.arrivals) / span_s,
                    refused / span_s,
                    attempts_max=counts.attempts_max,
                )
            )
        return found

    def _forget(self, counts: _Counts, now: float) -> None:
        arrivals = counts.arrivals
        while arrivals and arrivals[0][0] < now - SPAN_S:
            arrivals.popleft()


def estimate_retries(refused_share: float, attempts_max: int) -> float:
    """Return the retries that one call makes on average.

    Args:
        refused_share: Share of arrivals that is refused, independently.
        attempts_max: Attempts that the call may make.
    """
    return sum(refused_share**n for n in range(1, attempts_max))


def estimate_success(refused_share: float, attempts_max: int) -> float:
    """Return the chance that one of the attempts of a call is not refused.

    Args:
        refused_share: Share of arrivals that is refused, independently.
        attempts_max: Attempts that the call may make.
    """
    return 1.0 - refused_share ** max(1, attempts_max)


def estimate_calls(calls: float, success: float) -> float:
    """Return how many calls of a sequence are made if a failure ends it.

    Args:
        calls: Calls of the whole sequence; may be a fraction.
        success: Chance that a call succeeds.
    """
    if success >= 1.0:
        return calls
    return (1.0 - math.pow(success, calls)) / (1.0 - success)
