"""Refusal at the front of what a service deep in the chain cannot carry."""

import dataclasses
import math
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.admission.service_use import ServiceLoad
from kumquatwalk.admission.service_use import ServiceUse

__all__ = ["FrontGate", "RouteDemand", "plan_shares"]

# Share of a service's places that rank 0 alone must ask for before any of it is
# refused. Its need is an estimate and may be a quarter too high, and a gate
# serves it before all others anyway.
FIRST_RANK_USE = 1.25
# Time between two looks at loads and demands, in seconds; news comes as often.
LOOK_INTERVAL_S = 0.5
# Value of a request by rank, relative to the least important; rank 0 is money
# and orders, which are refused last.
VALUE_BY_RANK = (8.0, 4.0)
# Share of each kind of request that is let through however full a service is,
# as a part of the share of all requests that is, so that no kind of caller is
# shut out; and the least of it.
LEAST_PART = 0.4
LEAST_SHARE = 0.08
# Times that floors and shares are worked out from each other.
FLOOR_PASSES = 3
# Factors on the share for a new request, and for a caller that comes back
# after a refusal: it has waited already, and does not come a third time.
NEW_FACTOR = 0.9
RETURNING_FACTOR = 1.6


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDemand:
    """Requests of callers on one route, over the whole fleet.

    Attributes:
        route: Name of the route.
        rank: Order under pressure; 0 is the most important.
        per_s: Requests a second.
        needs: Time of places that one request takes over its whole chain, in
            seconds, by service.
    """

    route: str
    rank: int
    per_s: float
    needs: Mapping[str, float]

    @property
    def value(self) -> float:
        """Value of one request."""
        known = self.rank < len(VALUE_BY_RANK)
        return VALUE_BY_RANK[self.rank] if known else 1.0


class FrontGate:
    """Lets through what all services of a chain can carry.

    The capacity follows from the places of the targets and the time that
    requests take there, and is corrected by the loads that follow. All nodes
    see the same news and come to about the same shares.
    """

    def __init__(self):
        self._uses: dict[str, ServiceUse] = {}
        self._shares: Mapping[str, float] = {}
        self._looked_at = -math.inf

    @property
    def shares(self) -> Mapping[str, float]:
        """Share of each route that is let through, where it is not all."""
        return self._shares

    def is_due(self, now: float) -> bool:
        """Return whether to look at the loads again.

        Args:
            now: Present time.
        """
        return now - self._looked_at >= LOOK_INTERVAL_S

    def look(
        self,
        loads: Mapping[str, ServiceLoad],
        demands: Sequence[RouteDemand],
        now: float,
    ) -> None:
        """Set the shares from loads and demands.

        Args:
            loads: Load of each service.
            demands: Demand of each route of callers.
            now: Present time.
        """
        self._looked_at = now
        capacity = {}
        reserve = {}
        for service, load in loads.items():
            use = self._uses.setdefault(service, ServiceUse())
            use.look(load, _sum_needs(demands, service), not self._shares)
            if use.is_full:
                capacity[service] = use.find_capacity()
                reserve[service] = use.find_reserve(FIRST_RANK_USE)
        self._shares = plan_shares(demands, capacity, reserve)

    def get_share(self, route: str, is_returning: bool) -> float:
        """Return the share of such requests that pass, 0 to 1.

        Args:
            route: Name of the route.
            is_returning: Whether the caller comes back after a refusal.
        """
        share = self._shares.get(route)
        if share is None:
            return 1.0
        factor = RETURNING_FACTOR if is_returning else NEW_FACTOR
        return min(1.0, share * factor)


def plan_shares(
    demands: Sequence[RouteDemand],
    capacity: Mapping[str, float],
    reserve: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return the share of each route that fits, where it is not all.

    A fractional knapsack: of the routes that need a service that is asked for
    too much, those with the highest value for what they take are filled first.

    Args:
        demands: Demand of each route.
        capacity: Places of each service that may be used.
        reserve: The same for requests of rank 0; like ``capacity`` by default.

    Returns:
        Shares by route; routes that pass whole are left out.
    """
    full = _find_full(demands, capacity)
    if not full:
        return {}
    ordered = sorted(
        demands, key=lambda d: (d.rank > 0, -_rate(d, full), d.route)
    )
    floor = 1.0
    for _ in range(FLOOR_PASSES):
        shares = _fill_in_order(
            ordered, full, capacity, reserve or capacity, floor
        )
        floor = max(LEAST_SHARE, LEAST_PART * _average(demands, shares))
    least = {r: max(floor, share) for r, share in shares.items()}
    return {route: share for route, share in least.items() if share < 1.0}


def _fill_in_order(
    ordered: Sequence[RouteDemand],
    full: Mapping[str, float],
    capacity: Mapping[str, float],
    reserve: Mapping[str, float],
    floor: float,
) -> dict[str, float]:
    """Return the share of each route: the first rank, floors, then the rest."""
    shares = {d.route: 0.0 for d in ordered}
    room = {service: reserve[service] for service in full}
    for demand in ordered:
        if demand.rank == 0:
            _fill(demand, 1.0, shares, room)
    for service in full:
        room[service] -= reserve[service] - capacity[service]
    for most in (floor, 1.0):
        for demand in ordered:
            if demand.rank > 0 and shares[demand.route] < most:
                _fill(demand, most, shares, room)
    return shares


def _average(
    demands: Sequence[RouteDemand], shares: Mapping[str, float]
) -> float:
    """Return the share of all requests that is let through."""
    asked = sum(d.per_s for d in demands)
    if not asked:
        return 1.0
    return sum(d.per_s * shares[d.route] for d in demands) / asked


def _fill(
    demand: RouteDemand,
    most: float,
    shares: dict[str, float],
    room: dict[str, float],
) -> None:
    """Raise a route's share as far as all services have room for it."""
    added = most - shares[demand.route]
    asked = {s: demand.per_s * demand.needs.get(s, 0.0) for s in room}
    for service, places in asked.items():
        if places > 0.0:
            added = min(added, max(0.0, room[service]) / places)
    for service, places in asked.items():
        room[service] -= places * added
    shares[demand.route] += added


def _find_full(
    demands: Sequence[RouteDemand], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return how often over its capacity each full service is asked for."""
    full = {}
    for service, places in capacity.items():
        asked = _sum_needs(demands, service)
        if 0.0 < places < asked:
            full[service] = asked / places
    return full


def _sum_needs(demands: Sequence[RouteDemand], service: str) -> float:
    return sum(d.per_s * d.needs.get(service, 0.0) for d in demands)


def _rate(demand: RouteDemand, full: Mapping[str, float]) -> float:
    """Return the value for what a request takes of the full services."""
    cost = sum(
        demand.needs.get(service, 0.0) * excess
        for service, excess in full.items()
    )
    return demand.value / cost if cost > 0.0 else math.inf
