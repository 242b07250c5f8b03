"""Bounds what this node sends again, at a service and below it."""

from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.retry.service_budget import RetryAllowance
from kumquatwalk.retry.service_budget import ServiceRetryBudget
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import collect_run_times

__all__ = ["RetrySpender"]


class RetrySpender:
    """Budgets of all services. A run that is repeated repeats its calls.

    Args:
        bounds: Bounds for the whole fleet.
        peers: Links to other nodes.
        graph: Which routes call which.
    """

    def __init__(self, bounds: FleetBounds, peers: Peers, graph: CallGraph):
        self._bounds = bounds
        self._peers = peers
        self._graph = graph
        self._budgets: dict[str, ServiceRetryBudget] = {}

    def set_bounds(self, bounds: FleetBounds) -> None:
        """Take changed bounds; what was spent is forgotten.

        Args:
            bounds: The new bounds.
        """
        if bounds != self._bounds:
            self._bounds = bounds
            self._budgets.clear()

    def note_first(self, service: str, now: float) -> None:
        """Record a request for a service.

        Args:
            service: Name of the service.
            now: Present time.
        """
        self._find(service).note_first(now)

    def take(self, service: str, route: str, now: float) -> bool:
        """Spend on a repeat, if each service that it reaches has room for it.

        Args:
            service: Service of the request.
            route: Route of the request.
            now: Present time.

        Returns:
            Whether the request may be sent again.
        """
        nodes = self._peers.count
        arrivals = self._count_arrivals(service, route)
        budgets = [(self._find(s), weight) for s, weight in arrivals.items()]
        if not all(b.has_room(nodes, w, now) for b, w in budgets):
            return False
        for budget, weight in budgets:
            budget.spend(weight, now)
        return True

    def _count_arrivals(self, service: str, route: str) -> dict[str, float]:
        arrivals = {service: 1.0}
        runs = self._graph.count_runs(route)
        del runs[route]
        if not runs:
            return arrivals
        times = collect_run_times(self._peers.list_all_views())
        for name, count in runs.items():
            by_service = times.get(name, {})
            for below in by_service:
                share = count / len(by_service)
                arrivals[below] = arrivals.get(below, 0.0) + share
        return arrivals

    def _find(self, service: str) -> ServiceRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = ServiceRetryBudget(
                RetryAllowance(
                    bounds.retry_ratio,
                    bounds.retry_slack,
                    bounds.retry_window_s,
                )
            )
            self._budgets[service] = budget
        return budget
