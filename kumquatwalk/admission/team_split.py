"""Splits the admission probability of a route among the teams that use it."""

import dataclasses
import heapq
import math
from collections.abc import Iterable
from collections.abc import Mapping

__all__ = ["TeamDemand", "TeamLimit", "TeamSplit", "split_among_teams"]

# Time constant of an observed rate, in seconds: the time in which a team sends
# some requests, so that the rate of a large team follows a burst and that of a
# small one is no mere chance. In a simulated burst of the largest of 73 teams,
# with 60 requests a second at the node, others lost 0.17 of their requests in
# the seconds after it with 4 s for all teams, 0.05 with 2 s, 0.02 with 1 s and
# 0.01 so.
RATE_TIME_MIN_S = 1.0
RATE_TIME_MAX_S = 8.0
RATE_REQUESTS = 8.0
# Rate below which a team is forgotten on a route, in requests per second: some
# 26 s after a single request.
RATE_MIN_PER_S = 0.005
# Maximum number of pairs of a route and a team of which the rate is known, at
# about 250 bytes each. 1,000 teams use four routes each at one node.
FLOWS_MAX = 4096
# Lower bound for each team on each route, as a part of the share of all
# requests that is admitted: no team may be served less than a quarter as often
# as all. More than this takes from teams near their fair share: in a simulated
# burst of the largest of 73 teams for 40 s, the others keep 0.95 of what they
# are served with 0.3, and 0.97 with 0.25. It is below the lower bound of a
# route (``PROBABILITY_MIN_PART``), so that a route can always carry it.
TEAM_MIN_PART = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """Demand of one team on a route, as observed by this node.

    Attributes:
        team: Name of the team.
        rank: Rank of the team; 0 is the highest.
        requests_per_s: Requests per second.
    """

    team: str
    rank: int
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TeamLimit:
    """Requests of one route that are admitted, by rank of the team.

    Attributes:
        rate_max_per_s: Rate up to which requests of each team of a rank are
            admitted, per second; infinite if all are.
        probability_min: Lower bound of the admission probability of a team.
    """

    rate_max_per_s: Mapping[int, float]
    probability_min: float

    def compute_probability(self, rank: int, requests_per_s: float) -> float:
        """Return the admission probability of a team.

        Args:
            rank: Rank of the team.
            requests_per_s: Its requests per second; 0 if not known yet, which
                stands for a rate below the fair share.
        """
        rate_max_per_s = self.rate_max_per_s.get(rank)
        if rate_max_per_s is None:
            # A rank that has sent nothing yet comes after those above it.
            is_last = any(
                limit < math.inf and other < rank
                for other, limit in self.rate_max_per_s.items()
            )
            rate_max_per_s = 0.0 if is_last else math.inf
        if rate_max_per_s >= requests_per_s and rate_max_per_s > 0.0:
            return 1.0
        if not requests_per_s:
            return self.probability_min
        return max(self.probability_min, rate_max_per_s / requests_per_s)


def split_among_teams(
    demands: Iterable[TeamDemand], probability: float, probability_min: float
) -> TeamLimit:
    """Split the admission probability of a route among teams.

    Each team is admitted up to the lower bound. What is left goes to the teams
    of the highest rank until all their requests are admitted, then to the next
    rank. Within the rank that cannot be admitted in full, the rates admitted
    are max-min fair: a team that sends less than the others are admitted for
    is admitted in full.

    Args:
        demands: Demand of each team on the route.
        probability: Admission probability of the route.
        probability_min: Lower bound for each team.
    """
    probability_min = min(probability_min, probability)
    rates: dict[int, list[float]] = {}
    for demand in demands:
        rates.setdefault(demand.rank, []).append(demand.requests_per_s)
    total = sum(map(sum, rates.values()))
    left = (probability - probability_min) * total
    limits = {}
    for rank in sorted(rates):
        limits[rank] = _find_max_min_rate(rates[rank], left, probability_min)
        left = max(0.0, left - (1.0 - probability_min) * sum(rates[rank]))
    return TeamLimit(limits, probability_min)


def _find_max_min_rate(
    rates: list[float], spare: float, probability_min: float
) -> float:
    """Return the rate that each team may send.

    The spare rate is what may be admitted beyond the lower bound. A team with
    rate r that may send x is admitted max(probability_min * r, min(r, x)), so
    the sum is linear in x between the points at which x reaches the lower bound
    of a team or its rate.
    """
    if spare >= (1.0 - probability_min) * sum(rates) * (1.0 - 1e-9):
        return math.inf
    points = [(probability_min * rate, 1) for rate in rates]
    points += [(rate, -1) for rate in rates]
    points.sort()
    rate_max, growing = 0.0, 0
    for point, change in points:
        needed = (point - rate_max) * growing
        if needed > spare:
            return rate_max + spare / growing
        spare -= needed
        rate_max = point
        growing += change
    return rate_max


@dataclasses.dataclass(slots=True)
class _Flow:
    """Requests of one team on one route.

    Attributes:
        rank: Rank of the team.
        arrived: Requests since the last update.
        returned: Those of them that are taken for callers' retries.
        requests_per_s: Smoothed rate.
        returning_per_s: Smoothed rate of callers' retries.
    """

    rank: int
    arrived: int = 0
    returned: int = 0
    requests_per_s: float = 0.0
    returning_per_s: float = 0.0

    @property
    def time_constant_s(self) -> float:
        """Time constant of the rates, in seconds."""
        if self.requests_per_s * RATE_TIME_MAX_S <= RATE_REQUESTS:
            return RATE_TIME_MAX_S
        return max(RATE_TIME_MIN_S, RATE_REQUESTS / self.requests_per_s)

    def update(self, elapsed_s: float) -> None:
        """Include the requests since the last update in the rates."""
        weight = 1.0 - math.exp(-elapsed_s / self.time_constant_s)
        rate = self.arrived / elapsed_s
        self.requests_per_s += weight * (rate - self.requests_per_s)
        rate = self.returned / elapsed_s
        self.returning_per_s += weight * (rate - self.returning_per_s)
        self.arrived = self.returned = 0


class TeamSplit:
    """Admission probability of each team on each route at this node.

    Takes the admission probability of a route as given, and splits it by the
    rates that this node observes. Nodes do not coordinate.
    """

    def __init__(self):
        self._flows: dict[str, dict[str, _Flow]] = {}
        self._limits: dict[str, TeamLimit] = {}
        self._updated_at: float | None = None

    @property
    def flow_count(self) -> int:
        """Number of pairs of a route and a team of which the rate is known."""
        return sum(map(len, self._flows.values()))

    def record_arrival(
        self, route: str, team: str, rank: int, is_returning: bool
    ) -> None:
        """Count a request of a team.

        Args:
            route: Name of the route.
            team: Name of the team.
            rank: Rank of the team; 0 is the highest.
            is_returning: Whether it is taken for a caller's retry.
        """
        flows = self._flows.setdefault(route, {})
        flow = flows.get(team)
        if flow is None:
            if self.flow_count >= FLOWS_MAX:
                return
            flow = flows[team] = _Flow(rank)
        flow.rank = rank
        flow.arrived += 1
        flow.returned += is_returning

    def update(self, probabilities: Mapping[str, float], now: float) -> None:
        """Update the rates and split the admission probabilities of routes.

        Args:
            probabilities: Admission probability by route; routes that are not
                limited are left out.
            now: Current time, in seconds.
        """
        self._update_rates(now)
        rates = {
            route: sum(flow.requests_per_s for flow in flows.values())
            for route, flows in self._flows.items()
        }
        total = sum(rates.values())
        admitted = sum(
            rate * probabilities.get(route, 1.0)
            for route, rate in rates.items()
        )
        probability_min = TEAM_MIN_PART * admitted / total if total else 0.0
        # Without an observed rate, the probability of the route applies.
        self._limits = {
            route: split_among_teams(
                self._list_demands(route), probability, probability_min
            )
            for route, probability in probabilities.items()
            if rates.get(route)
        }

    def get_probability(
        self, route: str, team: str, rank: int, draw: float
    ) -> tuple[float, float] | None:
        """Return the admission probability of a team, and its retry share.

        Args:
            route: Name of the route.
            team: Name of the team.
            rank: Rank of the team; 0 is the highest.
            draw: Random number from 0 to 1, not the one that decides on the
                request.

        Returns:
            Probability over first attempts and callers' retries together, and
            the share of callers' retries in the requests of the team; None if
            the route is not limited, or the team not known because there are
            too many.
        """
        limit = self._limits.get(route)
        flow = self._flows.get(route, {}).get(team)
        if limit is None or flow is None:
            return None
        rate = flow.requests_per_s
        retry_share = flow.returning_per_s / rate if rate else 0.0
        # The rate at the arrival of a request does not include that request,
        # so for teams that send rarely it is lower than the rates that the
        # limits are computed from. There, a request weighs between the inverse
        # of the time constant and 0, according to its age. (A Poisson process
        # seen from its points, by Mecke's formula.) Without this, of requests
        # of 1,000 such teams 0.73 were admitted instead of 0.5 (simulated).
        seen_rate = rate + draw / flow.time_constant_s
        return limit.compute_probability(rank, seen_rate), retry_share

    def list_limited(self, count_max: int) -> list[tuple[str, float, float]]:
        """Return the teams that are refused the most requests.

        Args:
            count_max: Maximum number of teams.

        Returns:
            Names of teams with the requests per second on limited routes and
            the share of them that is admitted.
        """
        sent: dict[str, float] = {}
        refused: dict[str, float] = {}
        for route, limit in self._limits.items():
            for team, flow in self._flows.get(route, {}).items():
                rate = flow.requests_per_s
                probability = limit.compute_probability(flow.rank, rate)
                sent[team] = sent.get(team, 0.0) + rate
                lost = (1.0 - probability) * rate
                refused[team] = refused.get(team, 0.0) + lost
        largest = heapq.nlargest(count_max, refused.items(), key=lambda i: i[1])
        return [
            (team, sent[team], 1.0 - lost / sent[team])
            for team, lost in largest
            if lost > 0.0
        ]

    def _list_demands(self, route: str) -> list[TeamDemand]:
        return [
            TeamDemand(team, flow.rank, flow.requests_per_s)
            for team, flow in self._flows.get(route, {}).items()
        ]

    def _update_rates(self, now: float) -> None:
        if self._updated_at is None:
            # Nothing tells since when the first requests have been counted;
            # their rates are known from the next update on.
            self._updated_at = now
            return
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        self._updated_at = now
        for route in list(self._flows):
            flows = self._flows[route]
            for flow in flows.values():
                flow.update(elapsed_s)
            kept = {
                team: flow
                for team, flow in flows.items()
                if flow.requests_per_s >= RATE_MIN_PER_S
            }
            if kept:
                self._flows[route] = kept
            else:
                del self._flows[route]
