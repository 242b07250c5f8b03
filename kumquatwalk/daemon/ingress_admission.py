"""Admission control of callers' requests by the load of all services."""

import random

from kumquatwalk.admission.ingress import IngressLoadShedder
from kumquatwalk.admission.ingress import RouteDemand
from kumquatwalk.admission.ingress import ServiceLoad
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.logs import log_event
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import collect_run_times

__all__ = ["IngressAdmission"]


class IngressAdmission:
    """Sheds callers' requests that would overload a downstream service.

    The front gate computes the share of each route's requests to admit, from
    the loads, request rates and run times that nodes publish. Only requests of
    callers are shed here. A call of a target is part of a request that has
    been admitted.

    Args:
        peers: Links to other nodes.
        graph: Graph of the calls that routes make to each other.
        rng: Random source that picks the requests of a route to admit.
    """

    def __init__(self, peers: Peers, graph: CallGraph, rng: random.Random):
        self._peers = peers
        self._graph = graph
        self._rng = rng
        self._gate = IngressLoadShedder()
        self._ranks: dict[str, int] = {}

    def admits(self, route: Route, is_returning: bool, now: float) -> bool:
        """Return whether to admit a request.

        Args:
            route: Route of the request.
            is_returning: Whether its caller retries it after a refusal.
            now: Current time, in seconds.
        """
        self._ranks[route.name] = route.rank
        if self._gate.is_update_due(now):
            self._update_shares(now)
        if not self._gate.admission_probabilities:
            return True
        share = self._gate.get_admission_probability(route.name, is_returning)
        return self._rng.random() < share

    def _update_shares(self, now: float) -> None:
        was_shedding = bool(self._gate.admission_probabilities)
        self._gate.update(self._sum_loads(), self._list_demands(), now)
        if bool(self._gate.admission_probabilities) != was_shedding:
            log_event(
                "front_shares_set",
                **{
                    r: round(s, 3)
                    for r, s in self._gate.admission_probabilities.items()
                },
            )

    def _list_demands(self) -> list[RouteDemand]:
        times = collect_run_times(self._peers.list_all_views())
        return [
            RouteDemand(
                route,
                self._ranks[route],
                per_s,
                self._estimate_costs(route, times),
            )
            for route, per_s in self._graph.sum_rates().items()
            if self._graph.is_external(route) and route in self._ranks
        ]

    def _sum_loads(self) -> dict[str, ServiceLoad]:
        busy: dict[str, int] = {}
        limits: dict[str, int] = {}
        for view in self._peers.list_all_views():
            if not view.is_reachable or not view.accepts_calls:
                continue
            service = view.service
            count = view.running + view.queued
            busy[service] = busy.get(service, 0) + count
            limits[service] = limits.get(service, 0) + view.status.limit
        return {s: ServiceLoad(count, limits[s]) for s, count in busy.items()}

    def _estimate_costs(
        self, route: str, times: dict[str, dict[str, float]]
    ) -> dict[str, float]:
        """Return the run time in seconds that a request needs per service."""
        costs: dict[str, float] = {}
        for name, runs in self._graph.count_runs(route).items():
            by_service = times.get(name, {})
            for service, run_s in by_service.items():
                cost_s = runs * run_s / len(by_service)
                costs[service] = costs.get(service, 0.0) + cost_s
        return costs
