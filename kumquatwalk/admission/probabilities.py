"""Admission probabilities of routes that reach overloaded services."""

import dataclasses
import math
from collections.abc import Mapping
from collections.abc import Sequence

__all__ = ["RouteDemand", "compute_admission_probabilities"]

# Value of a request by rank, relative to the ranks not listed. Rank 0 is used
# for payments and orders, which are shed last.
VALUE_BY_RANK = (8.0, 4.0)
# Lower bound for each route however overloaded a service is, so that no group
# of callers is shut out: a part of the share of all requests that is admitted,
# and at least the second value.
PROBABILITY_MIN_PART = 0.4
PROBABILITY_MIN = 0.08
# Times that lower bounds and probabilities are computed from each other.
FLOOR_ITERATIONS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDemand:
    """Demand of callers on one route, over the whole fleet.

    Attributes:
        route: Name of the route.
        rank: Priority; 0 is the highest.
        requests_per_s: Requests per second.
        slot_seconds: Time for which one request and the calls below it occupy
            slots, in seconds, by service.
    """

    route: str
    rank: int
    requests_per_s: float
    slot_seconds: Mapping[str, float]

    @property
    def value(self) -> float:
        """Value of one request, relative to the lowest priority."""
        is_listed = self.rank < len(VALUE_BY_RANK)
        return VALUE_BY_RANK[self.rank] if is_listed else 1.0


def compute_admission_probabilities(
    demands: Sequence[RouteDemand], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return the admission probability of each route that must be limited.

    Solves a fractional knapsack greedily: among the routes that use an
    overloaded service, those with the highest value per use of the overloaded
    services are admitted first. Rank 0 is admitted before all others. The slots
    that a route requires are its request rate times its slot-seconds.

    Args:
        demands: Demand on each route.
        capacity: Slots of each service that may be used.

    Returns:
        Probability by route, at least ``PROBABILITY_MIN`` and at least
        ``PROBABILITY_MIN_PART`` of the share of all requests that is admitted;
        routes that are admitted in full are left out.
    """
    overloads = _find_overloads(demands, capacity)
    if not overloads:
        return {}
    ordered = sorted(
        demands,
        key=lambda d: (
            d.rank > 0,
            -_compute_value_per_cost(d, overloads),
            d.route,
        ),
    )
    floor = 1.0
    for _ in range(FLOOR_ITERATIONS):
        spare = {service: capacity[service] for service in overloads}
        probabilities = _fill_in_order(ordered, spare, floor)
        average = _average_probability(demands, probabilities)
        floor = max(PROBABILITY_MIN, PROBABILITY_MIN_PART * average)
    bounded = {r: max(floor, p) for r, p in probabilities.items()}
    return {route: p for route, p in bounded.items() if p < 1.0}


def _fill_in_order(
    ordered: Sequence[RouteDemand], spare: dict[str, float], floor: float
) -> dict[str, float]:
    """Admit rank 0, then each route up to the floor, then the rest."""
    probabilities = {d.route: 0.0 for d in ordered}
    for demand in ordered:
        if demand.rank == 0:
            _raise_probability(demand, 1.0, probabilities, spare)
    for probability_max in (floor, 1.0):
        for demand in ordered:
            if probabilities[demand.route] < probability_max:
                _raise_probability(
                    demand, probability_max, probabilities, spare
                )
    return probabilities


def _average_probability(
    demands: Sequence[RouteDemand], probabilities: Mapping[str, float]
) -> float:
    """Return the share of all requests that is admitted."""
    total = sum(d.requests_per_s for d in demands)
    if not total:
        return 1.0
    admitted = sum(d.requests_per_s * probabilities[d.route] for d in demands)
    return admitted / total


def _raise_probability(
    demand: RouteDemand,
    probability_max: float,
    probabilities: dict[str, float],
    spare: dict[str, float],
) -> None:
    """Raise a route's probability as far as spare capacity permits."""
    increase = probability_max - probabilities[demand.route]
    required = {
        s: demand.requests_per_s * demand.slot_seconds.get(s, 0.0)
        for s in spare
    }
    for service, slots in required.items():
        if slots > 0.0:
            increase = min(increase, max(0.0, spare[service]) / slots)
    for service, slots in required.items():
        spare[service] -= slots * increase
    probabilities[demand.route] += increase


def _find_overloads(
    demands: Sequence[RouteDemand], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return the ratio of demand to capacity of each overloaded service."""
    overloads = {}
    for service, slots in capacity.items():
        required = sum(
            d.requests_per_s * d.slot_seconds.get(service, 0.0) for d in demands
        )
        if 0.0 < slots < required:
            overloads[service] = required / slots
    return overloads


def _compute_value_per_cost(
    demand: RouteDemand, overloads: Mapping[str, float]
) -> float:
    """Return a request's value over its use of the overloaded services."""
    cost = sum(
        demand.slot_seconds.get(service, 0.0) * overload
        for service, overload in overloads.items()
    )
    return demand.value / cost if cost > 0.0 else math.inf
