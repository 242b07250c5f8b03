"""Measures the traffic of a node for its traffic reports."""

from kumquatwalk.routing.call_estimator import CallEstimator
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import CallShare
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport

__all__ = ["TrafficMeter"]

# Weight of one window in the moving average of rates: a surge shows within
# about two windows.
RATE_WEIGHT = 0.5
# Rate below which a route is left out of the report, in requests per second.
# Its average is kept until it falls below a quarter of this.
REPORTED_RATE_MIN_PER_S = 0.2
# Maximum number of routes in a report, and of calls.
ROUTES_MAX = 16


class TrafficMeter:
    """Counts requests from the VM and runs at its target per window."""

    def __init__(self):
        self._requests: dict[str, int] = {}
        self._runs: dict[str, int] = {}
        self._ended = 0
        self._failed = 0
        self._rates: dict[str, float] = {}
        self._estimator = CallEstimator()

    def record_arrival(self, route: str) -> None:
        """Count a request from the VM, from a caller or from the target.

        Args:
            route: Name of the route.
        """
        self._requests[route] = self._requests.get(route, 0) + 1

    def record_run(self, route: str) -> None:
        """Count a run that begins at the target.

        Args:
            route: Name of the route.
        """
        self._runs[route] = self._runs.get(route, 0) + 1

    def record_run_end(self, is_failed: bool) -> None:
        """Count a run that ended at the target.

        Args:
            is_failed: Whether it failed or its deadline passed.
        """
        self._ended += 1
        self._failed += is_failed

    def close_window(self, graph: CallGraph, window_s: float) -> TrafficReport:
        """End the current window and return the traffic report.

        Args:
            graph: Graph of the calls that routes make to each other.
            window_s: Length of the window, in seconds.

        Returns:
            Smoothed rates of the busiest routes and, for each internal route,
            the estimated calls to it per run of the routes that call it.
        """
        requests, self._requests = self._requests, {}
        runs, self._runs = self._runs, {}
        for route in {*self._rates, *requests}:
            rate = requests.get(route, 0) / window_s
            previous = self._rates.get(route, rate)
            self._rates[route] = previous + RATE_WEIGHT * (rate - previous)
        for route in [
            r for r, v in self._rates.items() if v < REPORTED_RATE_MIN_PER_S / 4
        ]:
            del self._rates[route]
        failure_share = self._failed / self._ended if self._ended else 0.0
        self._ended = self._failed = 0
        self._estimator.record_window(runs, requests, failure_share)
        return TrafficReport(self._list_rates(), self._list_calls(graph))

    def _list_rates(self) -> tuple[RouteRate, ...]:
        rates = [
            RouteRate(route, rate)
            for route, rate in self._rates.items()
            if rate >= REPORTED_RATE_MIN_PER_S
        ]
        rates.sort(key=lambda r: -r.requests_per_s)
        return tuple(rates[:ROUTES_MAX])

    def _list_calls(self, graph: CallGraph) -> tuple[CallShare, ...]:
        return tuple(
            CallShare(route, called, calls)
            for called, rate in self._rates.items()
            if rate >= REPORTED_RATE_MIN_PER_S and graph.is_internal(called)
            for route, calls in self._estimator.estimate(called).items()
        )[:ROUTES_MAX]
