"""Admission control of callers' requests by the load of all services."""

import math
import random

from kumquatwalk.admission.ingress import IngressLoadShedder
from kumquatwalk.admission.ingress import ServiceLoad
from kumquatwalk.admission.ingress import split_between_attempts
from kumquatwalk.admission.probabilities import RouteDemand
from kumquatwalk.admission.team_split import TeamSplit
from kumquatwalk.admission.retry_shares import compute_retry_shares
from kumquatwalk.config.route import Route
from kumquatwalk.config.team import Team
from kumquatwalk.daemon.peers import Peers
from kumquatwalk.daemon.retry_demands import count_by_service
from kumquatwalk.daemon.retry_demands import describe_refusing
from kumquatwalk.daemon.retry_demands import list_retry_demands
from kumquatwalk.logs import log_event
from kumquatwalk.retry.fleet_refusals import FleetRefusals
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.target_choice import collect_run_times

__all__ = ["IngressAdmission"]

# Interval at which the teams that are refused most are logged while requests
# are shed, in seconds, and their number.
TEAM_LOG_INTERVAL_S = 5.0
TEAMS_LOGGED_MAX = 8


class IngressAdmission:
    """Sheds callers' requests that would overload a downstream service.

    The load shedder computes the admission probability of each route from the
    loads, request rates and run times that nodes publish. Only requests on
    routes that are classified as used by callers are shed here, also when a
    target makes them on the operators' platform. A call on an internal route
    is part of a request that has been admitted.

    The probability of a route is split among the teams whose requests this node
    observes, see ``TeamSplit``. Requests without a team get that of the route.

    Args:
        peers: Links to other nodes.
        graph: Graph of the calls that routes make to each other.
        rng: Random source that picks the requests of a route to admit.
        refusals: What nodes report of services whose targets refuse calls;
            None not to limit requests by the retries left.

    Attributes:
        retry_shares: Shares of the routes that are limited by the retries left.
    """

    def __init__(
        self,
        peers: Peers,
        graph: CallGraph,
        rng: random.Random,
        refusals: FleetRefusals | None = None,
    ):
        self._peers = peers
        self._graph = graph
        self._rng = rng
        self._shedder = IngressLoadShedder()
        self._ranks: dict[str, int] = {}
        self._split = TeamSplit()
        self._teams_logged_at = -math.inf
        self._timeouts_s: dict[str, float] = {}
        self._refusals = refusals
        self.retry_shares: dict[str, float] = {}

    def admits(
        self,
        route: Route,
        is_returning: bool,
        now: float,
        team: Team | None = None,
    ) -> bool:
        """Return whether to admit a request.

        Args:
            route: Route of the request.
            is_returning: Whether it is taken for a caller's retry.
            now: Current time, in seconds.
            team: Team that sent it; None without one.
        """
        self._ranks[route.name] = route.rank
        self._timeouts_s[route.name] = route.timeout_s
        self._shedder.record_arrival(route.name, is_returning)
        if team is not None:
            self._split.record_arrival(
                route.name, team.name, team.rank, is_returning
            )
        if self._shedder.is_update_due(now):
            self._update_probabilities(now)
        if not self._shedder.admission_probabilities:
            return True
        limit = self._find_team_limit(route, team)
        if limit is None:
            probability = self._shedder.get_admission_probability(
                route.name, is_returning
            )
        else:
            probability = split_between_attempts(*limit, is_returning)
        return self._rng.random() < probability

    def draw_retry_delay(
        self, route: Route, is_returning: bool, team: Team | None = None
    ) -> float:
        """Return the time after which a refused caller should retry.

        Args:
            route: Route of the request.
            is_returning: Whether it is taken for a caller's retry.
            team: Team that sent it; None without one.

        Returns:
            The time in seconds; 0 for soon.
        """
        limit = self._find_team_limit(route, team)
        return self._shedder.draw_retry_delay(
            route.name,
            is_returning,
            self._rng,
            None if limit is None else limit[0],
        )

    def _find_team_limit(
        self, route: Route, team: Team | None
    ) -> tuple[float, float] | None:
        """Return what ``TeamSplit.get_probability`` returns for a request."""
        if team is None:
            return None
        return self._split.get_probability(
            route.name, team.name, team.rank, self._rng.random()
        )

    def _update_probabilities(self, now: float) -> None:
        was_shedding = bool(self._shedder.admission_probabilities)
        loads = self._sum_loads()
        demands = self._list_demands()
        self._update_retry_shares(loads, demands, now)
        self._shedder.update(loads, demands, now, self.retry_shares)
        self._split.update(self._shedder.admission_probabilities, now)
        self._log_limited_teams(now)
        if bool(self._shedder.admission_probabilities) != was_shedding:
            # Logged only when shedding begins or ends.
            probabilities = self._shedder.admission_probabilities
            log_event(
                "front_shares_set",
                shares=",".join(
                    f"{route}:{p:.3f}" for route, p in probabilities.items()
                ),
                loads=",".join(
                    f"{service}:{load.outstanding:.0f}/{load.limit:.0f}"
                    for service, load in loads.items()
                ),
                demands=",".join(map(_describe_demand, demands)),
            )

    def _log_limited_teams(self, now: float) -> None:
        """Log at intervals which teams are refused most, if any are."""
        if now - self._teams_logged_at < TEAM_LOG_INTERVAL_S:
            return
        teams = self._split.list_limited(TEAMS_LOGGED_MAX)
        if teams:
            self._teams_logged_at = now
            log_event(
                "team_shares_set",
                teams=",".join(
                    f"{name}:{per_s:.1f}*{share:.3f}"
                    for name, per_s, share in teams
                ),
            )

    def _update_retry_shares(
        self,
        loads: dict[str, ServiceLoad],
        demands: list[RouteDemand],
        now: float,
    ) -> None:
        """Limit routes to the requests that the retries left can finish.

        Of a service that is full, slots are scarce and not retries.
        """
        had_shares = bool(self.retry_shares)
        if self._refusals is None or not self._refusals.has_reports:
            refusing = {}
        else:
            refusing = self._refusals.list_services(
                self._peers.count_nodes(),
                count_by_service(self._peers.list_all_views()),
                now,
            )
        refusing = {
            name: service
            for name, service in refusing.items()
            if name not in loads or not loads[name].is_overloaded
        }
        if not refusing and not had_shares:
            return
        retry_demands = list_retry_demands(
            demands,
            self._timeouts_s,
            self._graph,
            self._peers.list_all_views(),
        )
        self.retry_shares = compute_retry_shares(retry_demands, refusing)
        if bool(self.retry_shares) != had_shares:
            # Logged only when it begins or ends.
            log_event(
                "retry_shares_set",
                shares=",".join(
                    f"{route}:{share:.3f}"
                    for route, share in self.retry_shares.items()
                ),
                refusing=describe_refusing(refusing),
            )

    def _list_demands(self) -> list[RouteDemand]:
        times = collect_run_times(self._peers.list_all_views())
        return [
            RouteDemand(
                route,
                self._ranks[route],
                per_s,
                self._estimate_slot_seconds(route, times),
            )
            for route, per_s in self._graph.sum_rates().items()
            if self._graph.is_external(route) and route in self._ranks
        ]

    def _sum_loads(self) -> dict[str, ServiceLoad]:
        outstanding: dict[str, float] = {}
        limits: dict[str, float] = {}
        for weighted in self._peers.list_weighted_views():
            view = weighted.view
            if not view.is_reachable or not view.accepts_calls:
                continue
            service = view.service
            count = weighted.weight * (view.running + view.queued)
            limit = weighted.weight * view.status.limit
            outstanding[service] = outstanding.get(service, 0.0) + count
            limits[service] = limits.get(service, 0.0) + limit
        return {
            s: ServiceLoad(count, limits[s]) for s, count in outstanding.items()
        }

    def _estimate_slot_seconds(
        self, route: str, times: dict[str, dict[str, float]]
    ) -> dict[str, float]:
        """Return the slot-seconds that one request occupies, by service."""
        slot_seconds: dict[str, float] = {}
        for name, runs in self._graph.count_runs(route).items():
            by_service = times.get(name, {})
            for service, run_s in by_service.items():
                occupied_s = runs * run_s / len(by_service)
                slot_seconds[service] = (
                    slot_seconds.get(service, 0.0) + occupied_s
                )
        return slot_seconds


def _describe_demand(demand: RouteDemand) -> str:
    """Return a route's rate and slot-seconds of one request, for the log."""
    costs = "+".join(
        f"{service}={seconds:.3f}"
        for service, seconds in demand.slot_seconds.items()
    )
    return f"{demand.route}:{demand.requests_per_s:.1f}*({costs})"
