"""Call graph of routes, merged from the traffic reports of all nodes."""

import dataclasses
from collections.abc import Mapping

from kumquatwalk.retry.refusals import ServiceRefusals
from kumquatwalk.routing.acyclic_calls import keep_acyclic

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
# Requests that the nodes of a service would be expected to have received on a
# route, if callers used it, for their absence to show that only targets call
# it. With fewer, chance alone leaves a service without requests.
ABSENCE_EVIDENCE_MIN = 10.0
# Time over which the rates of a report are averaged, in seconds.
RATE_SPAN_S = 3.0
# Age at which a report expires, in seconds: several intervals of reports.
REPORT_TTL_S = 6.0


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
        refusals: Services whose targets refuse calls of the node.
    """

    rates: tuple[RouteRate, ...] = ()
    calls: tuple[CallShare, ...] = ()
    refusals: tuple[ServiceRefusals, ...] = ()


class CallGraph:
    """Merges the traffic reports of nodes into one call graph.

    From the distribution of its rate over the services, a route is classified
    as used by callers or as called by targets only. The reports may come from a
    sample of the nodes: rates are then scaled to the whole fleet.

    The graph is merged when it is next read after a report, and what is read
    from it is kept until the next report.
    """

    def __init__(self):
        self._reports: dict[str, tuple[float, str, TrafficReport]] = {}
        self._populations: Mapping[str, int] = {}
        self._needs_merge = False
        self._internal_routes: frozenset[str] = frozenset()
        self._external_routes: frozenset[str] = frozenset()
        self._calls: dict[str, dict[str, float]] = {}
        self._runs: dict[str, dict[str, float]] = {}
        self._rates: dict[str, float] = {}

    def add_report(
        self, node_id: str, service: str, report: TrafficReport, now: float
    ) -> None:
        """Replace a node's report and drop expired ones.

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
        self._needs_merge = True

    def set_populations(self, populations: Mapping[str, int]) -> None:
        """Set the number of nodes of each service in the whole fleet.

        Args:
            populations: Nodes by service. A service that is missing here counts
                as many nodes as have reported.
        """
        if populations != self._populations:
            self._populations = dict(populations)
            self._needs_merge = True

    def is_internal(self, route: str) -> bool:
        """Return whether a route is classified as called by targets only.

        Args:
            route: Name of the route.
        """
        self._merge_if_needed()
        return route in self._internal_routes

    def is_external(self, route: str) -> bool:
        """Return whether a route is classified as used by callers.

        Args:
            route: Name of the route.
        """
        self._merge_if_needed()
        return route in self._external_routes

    def sum_rates(self) -> dict[str, float]:
        """Return the requests per second over the whole fleet, by route."""
        self._merge_if_needed()
        return dict(self._rates)

    def count_runs(self, route: str) -> Mapping[str, float]:
        """Return the expected runs that one request causes, by route.

        The steps are linear in the routes and calls of the graph.

        Args:
            route: Route of the request; its own run is included.
        """
        self._merge_if_needed()
        runs = self._runs.get(route)
        if runs is None:
            runs = self._runs[route] = self._propagate_runs(route)
        return runs

    def _propagate_runs(self, route: str) -> dict[str, float]:
        totals = {route: 1.0}
        for name in self._sort_topologically(route):
            for called, calls in self._calls.get(name, {}).items():
                totals[called] = totals.get(called, 0.0) + totals[name] * calls
        return totals

    def _sort_topologically(self, root: str) -> list[str]:
        """Return the routes below a root, each before the routes it calls."""
        finished: dict[str, None] = {}
        visited = {root}
        stack = [(root, iter(self._calls.get(root, ())))]
        while stack:
            route, callees = stack[-1]
            called = next((c for c in callees if c not in visited), None)
            if called is None:
                finished[route] = None
                stack.pop()
                continue
            visited.add(called)
            stack.append((called, iter(self._calls.get(called, ()))))
        return list(reversed(finished))

    def _merge_if_needed(self) -> None:
        if not self._needs_merge:
            return
        self._needs_merge = False
        self._runs.clear()
        nodes, sums = self._sum_rates_by_service()
        self._rates = self._scale_rates(nodes, sums)
        self._classify_routes(nodes, sums)
        self._merge_calls()

    def _sum_rates_by_service(
        self,
    ) -> tuple[dict[str, int], dict[str, dict[str, float]]]:
        """Return the reporting nodes by service, and rates by route and it."""
        nodes: dict[str, int] = {}
        sums: dict[str, dict[str, float]] = {}
        for _, service, report in self._reports.values():
            nodes[service] = nodes.get(service, 0) + 1
            for rate in report.rates:
                by_service = sums.setdefault(rate.route, {})
                total = by_service.get(service, 0.0) + rate.requests_per_s
                by_service[service] = total
        return nodes, sums

    def _scale_rates(
        self, nodes: Mapping[str, int], sums: Mapping[str, Mapping[str, float]]
    ) -> dict[str, float]:
        scales = {
            service: self._populations.get(service, count) / count
            for service, count in nodes.items()
        }
        return {
            route: sum(total * scales[s] for s, total in by_service.items())
            for route, by_service in sums.items()
        }

    def _classify_routes(
        self, nodes: Mapping[str, int], sums: Mapping[str, Mapping[str, float]]
    ) -> None:
        internal = set()
        external = set()
        for route, by_service in sums.items():
            means = {s: by_service.get(s, 0.0) / n for s, n in nodes.items()}
            highest = max(means.values())
            if highest < CLASSIFIED_RATE_MIN_PER_S or len(nodes) < 2:
                continue
            rarest = min(means, key=means.get)
            if means[rarest] >= CALLER_RATE_RATIO_MIN * highest:
                external.add(route)
            elif highest * nodes[rarest] * RATE_SPAN_S >= ABSENCE_EVIDENCE_MIN:
                internal.add(route)
        self._internal_routes = frozenset(internal)
        self._external_routes = frozenset(external)

    def _merge_calls(self) -> None:
        sums: dict[tuple[str, str], list[float]] = {}
        for _, _, report in self._reports.values():
            for call in report.calls:
                if call.called in self._internal_routes:
                    key = (call.route, call.called)
                    sums.setdefault(key, []).append(call.calls)
        means = {edge: sum(v) / len(v) for edge, v in sums.items()}
        calls: dict[str, dict[str, float]] = {}
        for route, called in keep_acyclic(means):
            calls.setdefault(route, {})[called] = means[route, called]
        self._calls = calls
