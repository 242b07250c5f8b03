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

# Span of the published rates, in seconds: short, so that the end of the
# refusals shows in the next traffic report.
RATE_SPAN_S = 0.5
# Span of the arrivals from which a service is judged, in seconds: some arrivals
# of one node also while the ingress admits few requests.
SPAN_S = 2.0
# Share of refused arrivals from which a service counts as refusing calls, and
# the number of them that rules out chance. With less, nearly all requests end
# well within the budget.
REFUSED_SHARE_MIN = 0.15
REFUSED_MIN = 3


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
    """Arrivals of the last ``SPAN_S`` with whether they were refused."""

    attempts_max: int = 1
    refused: int = 0
    refusing_since: float | None = None
    arrivals: collections.deque[tuple[float, bool]] = dataclasses.field(
        default_factory=collections.deque
    )

    def add(self, is_refused: bool, now: float) -> None:
        """Add an arrival and judge anew whether the service refuses calls."""
        self.arrivals.append((now, is_refused))
        self.refused += is_refused
        self.forget_old(now)

    def forget_old(self, now: float) -> None:
        """Forget old arrivals and judge anew."""
        arrivals = self.arrivals
        while arrivals and arrivals[0][0] < now - SPAN_S:
            self.refused -= arrivals.popleft()[1]
        # While the ingress admits few requests, one refusal shows enough.
        refused_min = REFUSED_MIN if self.refusing_since is None else 1
        share_min = REFUSED_SHARE_MIN * len(self.arrivals)
        if self.refused < max(refused_min, share_min):
            self.refusing_since = None
        elif self.refusing_since is None:
            self.refusing_since = now


class RefusalCounter:
    """Counts arrivals at the services whose targets refuse some of them.

    Nothing is counted for a service until one of its targets refuses a call,
    nor once all those refusals are old.
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
        if counts is None:
            if not is_refused:
                return
            counts = self._counts[service] = _Counts()
        if is_refused:
            counts.attempts_max = attempts_max
        counts.add(is_refused, now)
        if not counts.refused:
            del self._counts[service]

    def measure_refusing(self, service: str, now: float) -> float | None:
        """Return for how long targets of a service have refused calls.

        Args:
            service: Name of the service.
            now: Current time, in seconds.

        Returns:
            The time in seconds; None if they refuse no considerable share.
        """
        counts = self._counts.get(service)
        if counts is None:
            return None
        counts.forget_old(now)
        since = counts.refusing_since
        return None if since is None else now - since

    def list_refusals(self, now: float) -> list[ServiceRefusals]:
        """Return the rates of the services that refuse a considerable share.

        Args:
            now: Current time, in seconds.
        """
        found = []
        for service, counts in tuple(self._counts.items()):
            refusing_s = self.measure_refusing(service, now)
            if not counts.refused:
                del self._counts[service]
            if refusing_s is None:
                continue
            span_s = min(RATE_SPAN_S, max(refusing_s, RATE_SPAN_S / 4))
            recent = [r for at, r in counts.arrivals if at >= now - span_s]
            found.append(
                ServiceRefusals(
                    service,
                    len(recent) / span_s,
                    sum(recent) / span_s,
                    attempts_max=counts.attempts_max,
                )
            )
        return found


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
