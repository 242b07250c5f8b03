"""Retries that the routes of callers need, from what nodes publish."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.admission.probabilities import RouteDemand
from kumquatwalk.admission.retry_shares import RetryDemand
from kumquatwalk.retry.fleet_refusals import RefusingService
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.routing.target_choice import collect_run_times

__all__ = ["count_by_service", "describe_refusing", "list_retry_demands"]


def list_retry_demands(
    demands: Sequence[RouteDemand],
    timeouts_s: Mapping[str, float],
    graph: CallGraph,
    views: Iterable[TargetView],
) -> list[RetryDemand]:
    """Return the demands with the calls that one request makes.

    Args:
        demands: Demand on each route that callers use.
        timeouts_s: Timeouts of these routes, in seconds.
        graph: Graph of the calls that routes make to each other.
        views: Linked targets, whose run times tell which services run a route.
    """
    services = collect_run_times(views)
    found = []
    for demand in demands:
        calls: dict[str, float] = {}
        for name, runs in graph.count_runs(demand.route).items():
            by_service = services.get(name, {})
            for service in by_service:
                share = runs / len(by_service)
                calls[service] = calls.get(service, 0.0) + share
        found.append(
            RetryDemand(
                demand.route,
                demand.rank,
                demand.requests_per_s,
                calls,
                timeouts_s[demand.route],
            )
        )
    return found


def count_by_service(views: Iterable[TargetView]) -> dict[str, int]:
    """Return the number of reachable nodes of each service.

    Args:
        views: Linked targets and the own one.
    """
    counts: dict[str, int] = {}
    for view in views:
        if view.is_reachable:
            counts[view.service] = counts.get(view.service, 0) + 1
    return counts


def describe_refusing(refusing: Mapping[str, RefusingService]) -> str:
    """Return refused shares and the retries left a second, for the log.

    Args:
        refusing: Services whose targets refuse calls, by name.
    """
    return ",".join(
        f"{name}:{service.refused_share:.2f}/{service.retries_per_s:.1f}"
        for name, service in refusing.items()
    )
