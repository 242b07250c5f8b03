"""Shares of routes whose requests can be finished with the retries left."""

import dataclasses
import math
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.retry.fleet_refusals import RefusingService
from kumquatwalk.retry.refusals import estimate_calls
from kumquatwalk.retry.refusals import estimate_retries
from kumquatwalk.retry.refusals import estimate_success

__all__ = ["RetryDemand", "compute_retry_shares", "estimate_chance"]

# Chance to finish without retries from which the requests of a route are not
# limited: most of them end well, and they add more to the budget than they use.
UNAIDED_CHANCE_MIN = 0.3
# Part of the retries that the budgets allow which is planned for, as requests
# come and calls are refused in no regular order.
USABLE_PART = 0.65
# Timeout of the routes of the highest limited rank from which requests are
# limited, in seconds. A refused caller comes back after a third of its time at
# most; with less, it cannot outlast the refusals, and a start that mostly fails
# is worth more than a refusal.
TIMEOUT_MIN_S = 3.0
# Lower bound for each route, so that no kind of request is shut out: a part of
# the share of all limited requests that is admitted. The highest rank has the
# second one too: by its calls the nodes learn that the refusals have ended.
SHARE_MIN_PART = 0.25
SHARE_MIN = 0.03
# Times that lower bounds and shares are computed from each other.
FLOOR_ITERATIONS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDemand:
    """Demand of callers on one route, over the whole fleet.

    Attributes:
        route: Name of the route.
        rank: Priority; 0 is the highest.
        requests_per_s: Requests per second.
        calls: Expected calls of one request and its runs, by service.
        timeout_s: Timeout of the route, in seconds.
    """

    route: str
    rank: int
    requests_per_s: float
    calls: Mapping[str, float]
    timeout_s: float = math.inf


def estimate_chance(
    demand: RetryDemand,
    refusing: Mapping[str, RefusingService],
    has_retries: bool,
) -> float:
    """Return the chance that no call of a request is refused for good.

    Args:
        demand: Demand on the route of the request.
        refusing: Services whose targets refuse calls, by name.
        has_retries: Whether the budgets allow its retries.
    """
    return math.prod(
        estimate_success(
            service.refused_share, service.attempts_max if has_retries else 1
        )
        ** demand.calls.get(name, 0.0)
        for name, service in refusing.items()
    )


def compute_retry_shares(
    demands: Sequence[RetryDemand], refusing: Mapping[str, RefusingService]
) -> dict[str, float]:
    """Return the share of each route whose retries the budgets allow.

    The budget of a service is a capacity in retries a second, of which each
    request needs as many as its calls make on average. It is given to the ranks
    in order; the routes of one rank get equal shares. Routes that mostly finish
    without retries are not limited, and neither are routes that call none of
    the services. Nothing is limited where callers have no time to come back.

    Args:
        demands: Demand on each route.
        refusing: Services whose targets refuse calls, by name.

    Returns:
        Share by route, below 1; other routes are not limited.
    """
    limited = [
        d
        for d in demands
        if estimate_chance(d, refusing, False) < UNAIDED_CHANCE_MIN
    ]
    if not limited:
        return {}
    rank_min = min(d.rank for d in limited)
    highest = [d for d in limited if d.rank == rank_min]
    if max(d.timeout_s for d in highest) < TIMEOUT_MIN_S:
        return {}
    needs = {d.route: _estimate_needs(d, refusing) for d in limited}
    total = sum(d.requests_per_s for d in limited)
    floor = 0.0
    shares: dict[str, float] = {}
    for _ in range(FLOOR_ITERATIONS):
        spare = {
            name: USABLE_PART * s.retries_per_s for name, s in refusing.items()
        }
        shares = _fill_by_rank(limited, needs, spare, floor)
        admitted = sum(d.requests_per_s * shares[d.route] for d in limited)
        floor = SHARE_MIN_PART * admitted / max(total, 0.001)
    for demand in highest:
        shares[demand.route] = max(SHARE_MIN, shares[demand.route])
    # What the highest rank gets beyond the retries raises the lower bound too.
    for _ in range(FLOOR_ITERATIONS):
        admitted = sum(d.requests_per_s * shares[d.route] for d in limited)
        floor = SHARE_MIN_PART * admitted / max(total, 0.001)
        shares = {route: max(floor, share) for route, share in shares.items()}
    return {route: share for route, share in shares.items() if share < 1.0}


def _estimate_needs(
    demand: RetryDemand, refusing: Mapping[str, RefusingService]
) -> dict[str, float]:
    """Return the retries a second if all requests are admitted, by service."""
    needs = {}
    for name, service in refusing.items():
        share, attempts = service.refused_share, service.attempts_max
        calls = estimate_calls(
            demand.calls.get(name, 0.0), estimate_success(share, attempts)
        )
        retries = calls * estimate_retries(share, attempts)
        needs[name] = demand.requests_per_s * retries
    return needs


def _fill_by_rank(
    demands: Sequence[RetryDemand],
    needs: Mapping[str, Mapping[str, float]],
    spare: dict[str, float],
    floor: float,
) -> dict[str, float]:
    """Admit each route up to the floor, then the ranks in order."""
    for demand in demands:
        _take(spare, needs[demand.route], floor)
    shares = {}
    for rank in sorted({d.rank for d in demands}):
        routes = [d.route for d in demands if d.rank == rank]
        increase = 1.0 - floor
        for name, left in spare.items():
            need = sum(needs[route][name] for route in routes)
            if need > 0.0:
                increase = min(increase, max(0.0, left) / need)
        for route in routes:
            _take(spare, needs[route], increase)
            shares[route] = floor + increase
    return shares


def _take(
    spare: dict[str, float], needs: Mapping[str, float], share: float
) -> None:
    for name, need in needs.items():
        spare[name] -= share * need
