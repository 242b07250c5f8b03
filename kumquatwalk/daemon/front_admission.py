"""Refuses requests that services deep in the chain cannot carry."""

import random

from kumquatwalk.admission.arrival_trend import ArrivalTrend
from kumquatwalk.admission.front_gate import FrontGate
from kumquatwalk.admission.front_gate import RouteDemand
from kumquatwalk.admission.service_use import ServiceLoad
from kumquatwalk.config.route import Route
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.logs import log_event
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import collect_run_times

__all__ = ["FrontAdmission"]


class FrontAdmission:
    """Feeds the front gate with the loads and the costs that nodes tell.

    Only requests of callers are refused here. A call of a target is part of a
    request that has been let through.

    Args:
        peers: Links to other nodes.
        graph: Which routes call which.
        rng: Source of the choice among like requests.
    """

    def __init__(self, peers: Peers, graph: CallGraph, rng: random.Random):
        self._peers = peers
        self._graph = graph
        self._rng = rng
        self._gate = FrontGate()
        self._trend = ArrivalTrend()
        self._ranks: dict[str, int] = {}

    def passes(self, route: Route, is_returning: bool, now: float) -> bool:
        """Return whether a request is let through.

        Args:
            route: Its route.
            is_returning: Whether its caller comes back after a refusal.
            now: Present time.
        """
        self._ranks[route.name] = route.rank
        self._trend.note_arrival()
        if self._gate.is_due(now):
            self._look(now)
        if not self._gate.shares:
            return True
        share = self._gate.get_share(route.name, is_returning)
        return self._rng.random() < share

    def _look(self, now: float) -> None:
        was_full = bool(self._gate.shares)
        rise = self._trend.end_interval(now)
        demands = self._measure_demands(rise)
        self._gate.look(self._measure_loads(), demands, now)
        if bool(self._gate.shares) != was_full:
            log_event(
                "front_shares_set",
                **{r: round(s, 3) for r, s in self._gate.shares.items()},
            )

    def _measure_demands(self, rise: float) -> list[RouteDemand]:
        times = collect_run_times(self._peers.list_all_views())
        return [
            RouteDemand(
                route,
                self._ranks[route],
                rise * per_s,
                self._measure_needs(route, times),
            )
            for route, per_s in self._graph.sum_rates().items()
            if self._graph.is_outer(route) and route in self._ranks
        ]

    def _measure_loads(self) -> dict[str, ServiceLoad]:
        busy: dict[str, int] = {}
        limits: dict[str, int] = {}
        for view in self._peers.list_all_views():
            if not view.is_reachable or not view.takes_work:
                continue
            service = view.service
            count = view.running + view.queued
            busy[service] = busy.get(service, 0) + count
            limits[service] = limits.get(service, 0) + view.status.limit
        return {s: ServiceLoad(count, limits[s]) for s, count in busy.items()}

    def _measure_needs(
        self, route: str, times: dict[str, dict[str, float]]
    ) -> dict[str, float]:
        needs: dict[str, float] = {}
        for name, runs in self._graph.count_runs(route).items():
            by_service = times.get(name, {})
            for service, run_s in by_service.items():
                need_s = runs * run_s / len(by_service)
                needs[service] = needs.get(service, 0.0) + need_s
        return needs
