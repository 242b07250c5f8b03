"""Counts the traffic on the VM and makes the node's report of it."""

from kumquatwalk.routing.call_estimator import CallEstimator
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import CallShare
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport

__all__ = ["TrafficMeter"]

# Weight of one window in the rates: a surge shows within about two.
RATE_WEIGHT = 0.5
# Rate below which a route is left out of the report, in requests a second.
LEAST_RATE = 0.2
# Routes in a report at most.
ROUTES_MAX = 16


class TrafficMeter:
    """Counts requests from the VM and runs at its target, window by window."""

    def __init__(self):
        self._arrivals: dict[str, int] = {}
        self._rates: dict[str, float] = {}
        self._estimator = CallEstimator()

    def note_arrival(self, route: str, parent_route: str = "") -> None:
        """Record a request from the VM, of a caller or of the target.

        Args:
            route: Name of the route.
            parent_route: Route of the run that makes the call; empty where that
                is not known.
        """
        self._arrivals[route] = self._arrivals.get(route, 0) + 1
        self._estimator.note_call(route, parent_route)

    def note_run(self, route: str, now: float) -> None:
        """Record a run that begins at the target.

        Args:
            route: Name of the route.
            now: Present time, in seconds.
        """
        self._estimator.note_run(route, now)

    def note_end(self, route: str, is_failed: bool, now: float) -> None:
        """Record a run that ends at the target.

        Args:
            route: Name of the route.
            is_failed: Whether it failed.
            now: Present time, in seconds.
        """
        self._estimator.note_end(route, is_failed, now)

    def close_window(
        self, graph: CallGraph, window_s: float, now: float
    ) -> TrafficReport:
        """End a window and return the report.

        Args:
            graph: What is known of routes that targets call.
            window_s: Length of the window, in seconds.
            now: Present time, in seconds.
        """
        arrivals, self._arrivals = self._arrivals, {}
        for route in {*self._rates, *arrivals}:
            rate = arrivals.get(route, 0) / window_s
            known = self._rates.get(route, rate)
            self._rates[route] = known + RATE_WEIGHT * (rate - known)
        for route in [r for r, v in self._rates.items() if v < LEAST_RATE / 4]:
            del self._rates[route]
        self._estimator.close_window(now)
        return TrafficReport(self._list_rates(), self._list_calls(graph))

    def _list_rates(self) -> tuple[RouteRate, ...]:
        rates = [
            RouteRate(route, rate)
            for route, rate in self._rates.items()
            if rate >= LEAST_RATE
        ]
        rates.sort(key=lambda r: -r.per_s)
        return tuple(rates[:ROUTES_MAX])

    def _list_calls(self, graph: CallGraph) -> tuple[CallShare, ...]:
        return tuple(
            CallShare(route, called, calls, self._estimator.count_runs(route))
            for called, rate in self._rates.items()
            if rate >= LEAST_RATE and graph.is_inner(called)
            for route, calls in self._estimator.estimate(called).items()
        )[:ROUTES_MAX]
