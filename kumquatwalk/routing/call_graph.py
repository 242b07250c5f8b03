"""Call graph of routes, merged from the traffic reports of all nodes."""

import dataclasses

__all__ = [
    "CallGraph",
    "CallShare",
    "RouteRate",
    "TrafficReport",
]

# Minimum ratio of the lowest to the highest rate per node, over services, of a
# route that callers use. Callers run on all VMs, while a target's calls come
# only from the VMs of its service.
CALLER_RATE_RATIO_MIN = 0.25
# Rate below which a route is not classified, in requests per second and node.
CLASSIFIED_RATE_MIN_PER_S = 0.3
# Depth at which a chain of calls is cut off, as it probably is a cycle.
DEPTH_MAX = 12
# Age at which a report expires, in seconds. A node sends one report every
# ``nodes // 16`` windows of one second, so this is several intervals in a small
# fleet. From 240 nodes on a report may expire before the next one arrives.
REPORT_TTL_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRate:
    """Rate of the requests on a route that a node receives from its own VM.

    Attributes:
        route: Name of the route.
        requests_per_s: Requests per second.
    """

    route: str
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallShare:
    """Mean number of calls that a run makes on another route.

    Attributes:
        route: Route of the run.
        called: Called route.
        calls: Calls per run; may exceed 1.
    """

    route: str
    called: str
    calls: float


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficReport:
    """Traffic on the VM of one node.

    Attributes:
        rates: Request rates of the routes in use.
        calls: Calls made by runs at its target.
    """

    rates: tuple[RouteRate, ...] = ()
    calls: tuple[CallShare, ...] = ()


class CallGraph:
    """Merges the traffic reports of all nodes into one call graph.

    From the distribution of its rate over the services, a route is classified
    as used by callers or as called by targets only.
    """

    def __init__(self):
        self._reports: dict[str, tuple[float, str, TrafficReport]] = {}
        self._internal_routes: frozenset[str] = frozenset()
        self._external_routes: frozenset[str] = frozenset()
        self._calls: dict[str, dict[str, float]] = {}

    def add_report(
        self, node_id: str, service: str, report: TrafficReport, now: float
    ) -> None:
        """Replace a node's report, drop expired ones and update the graph.

        Args:
            node_id: Identifier of the reporting node.
            service: Service of its target.
            report: Report of its latest window.
            now: Current time, in seconds.
        """
        self._reports[node_id] = (now, service, report)
        for other, (reported_at, _, _) in tuple(self._reports.items()):
            if now - reported_at > REPORT_TTL_S:
                del self._reports[other]
        self._classify_routes()
        self._merge_calls()

    def is_internal(self, route: str) -> bool:
        """Return whether a route is classified as called by targets only.

        Args:
            route: Name of the route.
        """
        return route in self._internal_routes

    def is_external(self, route: str) -> bool:
        """Return whether a route is classified as used by callers.

        Args:
            route: Name of the route.
        """
        return route in self._external_routes

    def sum_rates(self) -> dict[str, float]:
        """Return the requests per second over the whole fleet, by route."""
        sums: dict[str, float] = {}
        for _, _, report in self._reports.values():
            for rate in report.rates:
                sums[rate.route] = (
                    sums.get(rate.route, 0.0) + rate.requests_per_s
                )
        return sums

    def count_runs(self, route: str) -> dict[str, float]:
        """Return the expected runs that one request causes, by route.

        Args:
            route: Route of the request; its own run is included.
        """
        totals: dict[str, float] = {}
        self._add_runs(route, 1.0, totals, DEPTH_MAX)
        return totals

    def _add_runs(
        self, route: str, runs: float, totals: dict[str, float], depth: int
    ) -> None:
        totals[route] = totals.get(route, 0.0) + runs
        if depth:
            for called, calls in self._calls.get(route, {}).items():
                self._add_runs(called, runs * calls, totals, depth - 1)

    def _classify_routes(self) -> None:
        rates = self._average_rates()
        services = {service for _, service, _ in self._reports.values()}
        internal = set()
        external = set()
        for route, by_service in rates.items():
            highest = max(by_service.values())
            lowest = min(by_service.get(s, 0.0) for s in services)
            if highest < CLASSIFIED_RATE_MIN_PER_S or len(services) < 2:
                continue
            is_external = lowest >= CALLER_RATE_RATIO_MIN * highest
            (external if is_external else internal).add(route)
        self._internal_routes = frozenset(internal)
        self._external_routes = frozenset(external)

    def _average_rates(self) -> dict[str, dict[str, float]]:
        nodes: dict[str, int] = {}
        sums: dict[str, dict[str, float]] = {}
        for _, service, report in self._reports.values():
            nodes[service] = nodes.get(service, 0) + 1
            for rate in report.rates:
                by_service = sums.setdefault(rate.route, {})
                total = by_service.get(service, 0.0) + rate.requests_per_s
                by_service[service] = total
        return {
            route: {s: total / nodes[s] for s, total in by_service.items()}
            for route, by_service in sums.items()
        }

    def _merge_calls(self) -> None:
        sums: dict[tuple[str, str], list[float]] = {}
        for _, _, report in self._reports.values():
            for call in report.calls:
                if call.called in self._internal_routes:
                    key = (call.route, call.called)
                    sums.setdefault(key, []).append(call.calls)
        calls: dict[str, dict[str, float]] = {}
        for (route, called), values in sums.items():
            mean = sum(values) / len(values)
            calls.setdefault(route, {})[called] = mean
        self._calls = calls
