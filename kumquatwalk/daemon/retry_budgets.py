"""Retry budgets of all services that a retry adds load to."""

import dataclasses
from collections.abc import Callable

from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.retry.refusals import RefusalCounter
from kumquatwalk.retry.refusals import ServiceRefusals
from kumquatwalk.retry.service_budget import RetryAllowance
from kumquatwalk.retry.service_budget import ServiceRetryBudget
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import collect_run_times

__all__ = ["RetryBudgets"]

# Time for which the calls that a retry adds are kept, in seconds.
CALLS_TTL_S = 0.5
# Time for which retries are paced from the begin of refusals on, in seconds,
# though the ingress does not limit requests: by then it has decided.
UNDECIDED_S = 2.5


class RetryBudgets:
    """Keeps one retry budget per service.

    A retry is charged to the service of the request and to all services that
    its run calls, because a repeated run repeats its calls.

    Args:
        bounds: Bounds for the whole fleet, of which each node gets a share.
        peers: Links to other nodes.
        graph: Graph of the calls that routes make to each other.
        saves_retries: Whether budgets are reserved and paced while the targets
            of a service refuse calls, and the refusals are published. It pays
            only where the ingress limits requests by the retries left.

    Attributes:
        limits_requests: Returns whether the ingress limits requests by the
            retries left. Only then is it worth while to save them.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        peers: Peers,
        graph: CallGraph,
        saves_retries: bool = False,
    ):
        self._bounds = bounds
        self._saves_retries = saves_retries
        self._peers = peers
        self._graph = graph
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._refusals = RefusalCounter()
        self.limits_requests: Callable[[], bool] = lambda: True
        self._calls: dict[tuple[str, str], tuple[float, dict[str, float]]] = {}

    def set_bounds(self, bounds: FleetBounds) -> None:
        """Replace the bounds; the budgets are reset if the bounds differ.

        Args:
            bounds: New bounds for the whole fleet.
        """
        if bounds != self._bounds:
            self._bounds = bounds
            self._budgets.clear()

    def record_first_attempt(self, service: str, now: float) -> None:
        """Record the first attempt of a request, which adds to the budget.

        Args:
            service: Name of the service.
            now: Current time, in seconds.
        """
        self._get_budget(service).record_first_attempt(now)

    def record_arrival(
        self, service: str, is_refused: bool, attempts_max: int, now: float
    ) -> None:
        """Record that an attempt has reached a target.

        Args:
            service: Name of the service.
            is_refused: Whether the target refused it as not run.
            attempts_max: Attempts that the request may make.
            now: Current time, in seconds.
        """
        if self._saves_retries:
            self._refusals.record(service, is_refused, attempts_max, now)

    def list_refusals(self, now: float) -> tuple[ServiceRefusals, ...]:
        """Return the services whose targets refuse calls, with their budgets.

        Args:
            now: Current time, in seconds.
        """
        nodes = self._peers.count
        return tuple(
            dataclasses.replace(
                row,
                retries_per_s=self._get_budget(row.service).estimate_rate(
                    nodes,
                    self._refusals.measure_refusing(row.service, now) or 0.0,
                    now,
                ),
            )
            for row in self._refusals.list_refusals(now)
        )

    def try_spend(
        self,
        service: str,
        route: str,
        now: float,
        may_use_reserve: bool = True,
    ) -> bool:
        """Spend budget on a retry if each service it reaches has some left.

        Args:
            service: Service of the request.
            route: Route of the request.
            now: Current time, in seconds.
            may_use_reserve: Whether it may use the part that is reserved while
                the targets of a service refuse calls.

        Returns:
            Whether the request may be retried; nothing is spent if not.
        """
        nodes = self._peers.count
        calls = self._get_calls(service, route, now)
        budgets = [(s, self._get_budget(s), w) for s, w in calls.items()]
        for name, budget, weight in budgets:
            refusing_s = self._refusals.measure_refusing(name, now)
            is_paced = refusing_s is not None and (
                refusing_s < UNDECIDED_S or self.limits_requests()
            )
            if not budget.allows_retry(
                nodes, weight, now, refusing_s, may_use_reserve, is_paced
            ):
                return False
        for _, budget, weight in budgets:
            budget.spend(weight, now)
        return True

    def _get_calls(
        self, service: str, route: str, now: float
    ) -> dict[str, float]:
        counted_at, calls = self._calls.get((service, route), (0.0, None))
        if calls is None or now - counted_at > CALLS_TTL_S:
            calls = self._count_calls(service, route)
            self._calls[service, route] = now, calls
        return calls

    def _count_calls(self, service: str, route: str) -> dict[str, float]:
        """Return the expected calls that a retry adds at each service."""
        calls = {service: 1.0}
        runs = self._graph.count_runs(route)
        if len(runs) == 1:
            return calls
        times = collect_run_times(self._peers.list_all_views())
        for name, count in runs.items():
            if name == route:
                continue
            by_service = times.get(name, {})
            for callee in by_service:
                share = count / len(by_service)
                calls[callee] = calls.get(callee, 0.0) + share
        return calls

    def _get_budget(self, service: str) -> ServiceRetryBudget:
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
