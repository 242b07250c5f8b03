"""Which routes call which, and what a request costs each service."""

import dataclasses

__all__ = [
    "CallGraph",
    "CallShare",
    "RouteRate",
    "TrafficReport",
]

# Share of the highest rate, over services, that the lowest one has at least
# for a route of callers. Callers are on all VMs, while a target's calls come
# from the VMs of its service only.
CALLER_RATE_SHARE = 0.25
# Rate below which a route is too rare to tell, in requests a second and node.
LEAST_RATE = 0.3
# Depth at which a chain of calls is taken for a loop.
DEPTH_MAX = 12
# Time after which a report counts no more, in seconds: several intervals.
REPORT_KEPT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRate:
    """Requests of a route that come to a node from its own VM.

    Attributes:
        route: Name of the route.
        per_s: Requests a second.
    """

    route: str
    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallShare:
    """Calls that one run makes.

    Attributes:
        route: Route of the run.
        called: Route that it calls.
        calls: Calls for one run.
        runs: Runs that it was learnt from; older ones count less.
    """

    route: str
    called: str
    calls: float
    runs: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficReport:
    """What one node sees of the traffic on its VM.

    Attributes:
        rates: Rates of the routes in use.
        calls: What runs at its target call.
    """

    rates: tuple[RouteRate, ...] = ()
    calls: tuple[CallShare, ...] = ()


class CallGraph:
    """Joins the reports of all nodes."""

    def __init__(self):
        self._reports: dict[str, tuple[float, str, TrafficReport]] = {}
        self._inner: frozenset[str] = frozenset()
        self._outer: frozenset[str] = frozenset()
        self._calls: dict[str, dict[str, float]] = {}

    def take_report(
        self, node_id: str, service: str, report: TrafficReport, now: float
    ) -> None:
        """Take a node's report.

        Args:
            node_id: Name of the node.
            service: Service of its target.
            report: The report.
            now: Present time.
        """
        self._reports[node_id] = (now, service, report)
        for other, (at, _, _) in tuple(self._reports.items()):
            if now - at > REPORT_KEPT_S:
                del self._reports[other]
        self._classify()
        self._join_calls()

    def is_inner(self, route: str) -> bool:
        """Return whether a route is known to be called by targets only.

        Args:
            route: Name of the route.
        """
        return route in self._inner

    def is_outer(self, route: str) -> bool:
        """Return whether a route is known to be used by callers.

        Args:
            route: Name of the route.
        """
        return route in self._outer

    def sum_rates(self) -> dict[str, float]:
        """Return the requests a second from all VMs, by route."""
        sums: dict[str, float] = {}
        for _, _, report in self._reports.values():
            for rate in report.rates:
                sums[rate.route] = sums.get(rate.route, 0.0) + rate.per_s
        return sums

    def count_runs(self, route: str) -> dict[str, float]:
        """Return the runs that one request causes, by route.

        Args:
            route: Route of the request, which counts once.
        """
        counts: dict[str, float] = {}
        self._count(route, 1.0, counts, DEPTH_MAX)
        return counts

    def _count(
        self, route: str, times: float, counts: dict[str, float], depth: int
    ) -> None:
        counts[route] = counts.get(route, 0.0) + times
        if depth:
            for called, calls in self._calls.get(route, {}).items():
                self._count(called, times * calls, counts, depth - 1)

    def _classify(self) -> None:
        rates = self._average_rates()
        services = {service for _, service, _ in self._reports.values()}
        inner = set()
        outer = set()
        for route, by_service in rates.items():
            highest = max(by_service.values())
            lowest = min(by_service.get(s, 0.0) for s in services)
            if highest < LEAST_RATE or len(services) < 2:
                continue
            is_outer = lowest >= CALLER_RATE_SHARE * highest
            (outer if is_outer else inner).add(route)
        self._inner = frozenset(inner)
        self._outer = frozenset(outer)

    def _average_rates(self) -> dict[str, dict[str, float]]:
        nodes: dict[str, int] = {}
        sums: dict[str, dict[str, float]] = {}
        for _, service, report in self._reports.values():
            nodes[service] = nodes.get(service, 0) + 1
            for rate in report.rates:
                by_service = sums.setdefault(rate.route, {})
                total = by_service.get(service, 0.0) + rate.per_s
                by_service[service] = total
        return {
            route: {s: total / nodes[s] for s, total in by_service.items()}
            for route, by_service in sums.items()
        }

    def _join_calls(self) -> None:
        sums: dict[tuple[str, str], float] = {}
        runs: dict[tuple[str, str], int] = {}
        for _, _, report in self._reports.values():
            for share in report.calls:
                if share.called in self._inner:
                    key = (share.route, share.called)
                    # A target that hardly ran a route tells little of it.
                    weight = max(1, share.runs)
                    sums[key] = sums.get(key, 0.0) + weight * share.calls
                    runs[key] = runs.get(key, 0) + weight
        calls: dict[str, dict[str, float]] = {}
        for (route, called), total in sums.items():
            mean = total / runs[route, called]
            calls.setdefault(route, {})[called] = mean
        self._calls = calls
