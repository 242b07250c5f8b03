"""Sheds requests at the ingress when a service they reach is overloaded."""

import dataclasses
import math
import random
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.admission.probabilities import RouteDemand
from kumquatwalk.admission.probabilities import compute_admission_probabilities

__all__ = ["IngressLoadShedder", "ServiceLoad", "split_between_attempts"]

# Utilization of a service: the fraction of its concurrency limit that requests
# are admitted for. It is set to the initial value when the service is first
# overloaded. It also corrects errors in the estimated cost of requests, so it
# may exceed one. Above the last value the service is no longer limited.
UTILIZATION_INITIAL = 0.9
UTILIZATION_MIN = 0.5
UTILIZATION_UNLIMITED = 1.6
# Load above which a service is overloaded, and below which it has spare
# capacity: running and queued calls over its concurrency limit.
LOAD_OVERLOADED = 1.05
LOAD_SPARE = 1.0
# Share by which the utilization falls at each update, when a service is just
# overloaded and at most; and by which it rises when the service has no load.
UTILIZATION_DECREASE = 0.05
UTILIZATION_DECREASE_MAX = 0.2
UTILIZATION_INCREASE = 0.5
# Loads come with replies too, not only with status messages.
UPDATE_INTERVAL_S = 0.5
# Part of a route's admission probability that first attempts keep when callers'
# retries alone take all of it.
FIRST_ATTEMPT_PART = 0.25
# Weight of one request in the moving average of the share of callers' retries.
RETRY_SHARE_WEIGHT = 0.04
# Range of the time after which a caller may retry for whom no room is expected
# soon, in seconds: longer than most surges.
LATE_RETRY_RANGE_S = (3.0, 6.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service, summed over its targets.

    Attributes:
        outstanding: Running and queued calls.
        limit: Concurrency limit.
    """

    outstanding: float
    limit: float

    @property
    def is_overloaded(self) -> bool:
        """Whether calls wait for its slots."""
        return self.outstanding > LOAD_OVERLOADED * max(1, self.limit)


def split_between_attempts(
    probability: float, retry_share: float, is_returning: bool
) -> float:
    """Return the admission probability of first attempts, or of retries.

    Args:
        probability: Admission probability over both together.
        retry_share: Share of callers' retries in the requests.
        is_returning: Whether it is wanted for callers' retries.
    """
    if probability >= 1.0:
        return 1.0
    if is_returning:
        return min(1.0, probability / max(retry_share, 0.001))
    rest = (probability - retry_share) / max(1.0 - retry_share, 0.001)
    return max(rest, FIRST_ATTEMPT_PART * probability)


class IngressLoadShedder:
    """Computes the admission probability of requests at the ingress.

    Requests are admitted up to the capacity of every service in their call
    tree. The capacity is derived from concurrency limits and run times, and
    corrected by feedback from the measured loads. Nodes do not coordinate:
    each estimates loads and demands of the fleet from the nodes that it is
    linked to.
    """

    def __init__(self):
        self._utilizations: dict[str, float] = {}
        self._probabilities: Mapping[str, float] = {}
        self._retry_shares: dict[str, float] = {}
        self._updated_at = -math.inf

    @property
    def admission_probabilities(self) -> Mapping[str, float]:
        """Admission probability by route, over first attempts and retries
        together; unlimited routes are left out.
        """
        return self._probabilities

    def is_update_due(self, now: float) -> bool:
        """Return whether the update interval has passed.

        Args:
            now: Current time, in seconds.
        """
        return now - self._updated_at >= UPDATE_INTERVAL_S

    def update(
        self,
        loads: Mapping[str, ServiceLoad],
        demands: Sequence[RouteDemand],
        now: float,
        retry_shares: Mapping[str, float] | None = None,
    ) -> None:
        """Recompute the admission probabilities.

        Args:
            loads: Load of each service.
            demands: Demand on each route that callers use.
            now: Current time, in seconds.
            retry_shares: Shares of the routes whose retries are scarce, see
                ``compute_retry_shares``; None if there are none.
        """
        self._updated_at = now
        capacity = {}
        for service, load in loads.items():
            utilization = self._adjust_utilization(service, load)
            if utilization is not None:
                capacity[service] = utilization * load.limit
        probabilities = compute_admission_probabilities(demands, capacity)
        for route, share in (retry_shares or {}).items():
            probabilities[route] = min(probabilities.get(route, 1.0), share)
        self._probabilities = probabilities

    def record_arrival(self, route: str, is_returning: bool) -> None:
        """Count a request in the share of callers' retries of its route.

        Args:
            route: Name of the route.
            is_returning: Whether the request is taken for a caller's retry.
        """
        share = self._retry_shares.get(route, 0.0)
        change = float(is_returning) - share
        self._retry_shares[route] = share + RETRY_SHARE_WEIGHT * change

    def get_admission_probability(
        self, route: str, is_returning: bool
    ) -> float:
        """Return the admission probability of a request, 0 to 1.

        Callers' retries are admitted first: their callers have waited already,
        and a second refusal ends most of them. What the probability of the
        route leaves goes to first attempts.

        Args:
            route: Name of the route.
            is_returning: Whether the request is taken for a caller's retry.
        """
        probability = self._probabilities.get(route)
        if probability is None:
            return 1.0
        retry_share = self._retry_shares.get(route, 0.0)
        return split_between_attempts(probability, retry_share, is_returning)

    def draw_retry_delay(
        self,
        route: str,
        is_returning: bool,
        rng: random.Random,
        probability: float | None = None,
    ) -> float:
        """Return the time after which a refused caller should retry.

        Only as many are called back soon as there will be room for. The others
        are told a time after most surges: called back soon, they would be
        refused once more, or take the room of others.

        Args:
            route: Name of the route.
            is_returning: Whether the request is taken for a caller's retry.
            rng: Random source.
            probability: Admission probability of the caller's team; None for
                that of the route.

        Returns:
            The time in seconds; 0 for soon.
        """
        if probability is None:
            probability = self._probabilities.get(route, 1.0)
        if not is_returning and rng.random() < probability:
            return 0.0
        return rng.uniform(*LATE_RETRY_RANGE_S)

    def _adjust_utilization(
        self, service: str, load: ServiceLoad
    ) -> float | None:
        """Return the new utilization; None when the service is not limited."""
        ratio = load.outstanding / max(1, load.limit)
        utilization = self._utilizations.get(service)
        if ratio > LOAD_OVERLOADED:
            decrease = min(
                UTILIZATION_DECREASE_MAX,
                UTILIZATION_DECREASE * ratio / LOAD_OVERLOADED,
            )
            utilization = (
                UTILIZATION_INITIAL
                if utilization is None
                else max(UTILIZATION_MIN, utilization * (1.0 - decrease))
            )
        elif utilization is not None and ratio < LOAD_SPARE:
            spare = 1.0 - ratio / LOAD_SPARE
            utilization *= 1.0 + UTILIZATION_INCREASE * spare
        if utilization is None or utilization > UTILIZATION_UNLIMITED:
            self._utilizations.pop(service, None)
            return None
        self._utilizations[service] = utilization
        return utilization
