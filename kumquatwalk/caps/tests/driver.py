"""Deterministic driver of borrowers and allocators in virtual time."""

import bisect
import dataclasses
import heapq
import itertools
import random

from kumquatwalk.caps.allocator import Allocator
from kumquatwalk.caps.client import CapClient
from kumquatwalk.caps.client import TokenRequest
from kumquatwalk.caps.refusal import CapRefusal
from kumquatwalk.caps.team_index import TeamIndex
from kumquatwalk.config.team import Team

__all__ = ["CapDriver", "Demand", "make_zipf_teams", "measure_overshoot"]

# One-way delay of messages within a zone and between zones, in seconds.
DELAY_NEAR_S = 0.0005
DELAY_FAR_S = 0.002
# Bytes of a message with one entry, and of each further entry, as encoded.
MESSAGE_BYTES = 60
ENTRY_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Demand:
    """Usual demand of one team and its cap.

    Attributes:
        team: The team.
        per_s: Requests a second over the fleet.
    """

    team: Team
    per_s: float


def make_zipf_teams(
    count: int, total_per_s: float, headroom: float, burst_s: float
) -> list[Demand]:
    """Return teams whose demand has a Zipf skew of 1.2.

    Args:
        count: Number of teams.
        total_per_s: Requests a second of all teams.
        headroom: Cap as a multiple of the demand.
        burst_s: Burst as seconds of the cap.
    """
    weights = [rank**-1.2 for rank in range(1, count + 1)]
    demands = []
    for rank, weight in enumerate(weights):
        per_s = total_per_s * weight / sum(weights)
        cap = headroom * per_s
        team = Team(f"team-{rank}", 0, cap, cap * burst_s)
        demands.append(Demand(team, per_s))
    return demands


def measure_overshoot(
    times: list[float], team: Team, window_s: float = 5.0
) -> float:
    """Return by how many requests the worst window exceeds the cap.

    Args:
        times: Times at which the team's requests got tokens.
        team: The team.
        window_s: Length of the windows, in seconds.

    Returns:
        The number; 0 if no window exceeds the cap.
    """
    allowed = team.rate_max_per_s * window_s + team.burst
    times = sorted(times)
    worst = 0.0
    for index, start in enumerate(times):
        end = bisect.bisect_right(times, start + window_s)
        worst = max(worst, end - index - allowed)
    return worst


class CapDriver:
    """Nodes that borrow from one allocator in each zone.

    Args:
        nodes: Number of nodes, spread evenly over the zones.
        zones: Number of zones.
        teams: Teams with caps.
        offsets: Offset of the clock of each node, in seconds; 0 by default.

    Attributes:
        clients: Client of each node.
        allocators: Allocator of each zone.
        is_down: Zones whose allocators do not respond.
        paused_until: Times until which nodes are frozen, in seconds.
        cut: Pairs of a node and a zone between which messages are lost.
        arrivals: Time and team of each request.
        granted: Times at which requests got tokens, by team.
        refused: Numbers of refusals, by team and code.
        waits: Times that requests have waited, in seconds.
        bytes_sent: Bytes of all messages.
        now: Virtual time, in seconds.
    """

    def __init__(
        self,
        nodes: int,
        zones: int,
        teams: list[Team],
        offsets: list[float] | None = None,
    ):
        self._offsets = offsets or [0.0] * nodes
        self.paused_until = [0.0] * nodes
        self.zones = [f"z{n}" for n in range(zones)]
        self.index = TeamIndex(teams)
        self._numbers = self.index.by_name
        self.clients = [
            CapClient(self._order_zones(node)) for node in range(nodes)
        ]
        self.allocators: dict[str, Allocator] = {}
        for epoch, zone in enumerate(self.zones, 1):
            allocator = Allocator(zones)
            allocator.set_teams(self.index, 0.0)
            allocator.set_share(1.0, 0.0)
            allocator.begin(epoch, 0.0)
            self.allocators[zone] = allocator
        self.is_down: set[str] = set()
        self.cut: set[tuple[int, str]] = set()
        self.granted: dict[str, list[float]] = {t.name: [] for t in teams}
        self.refused: dict[tuple[str, str], int] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.waits: list[float] = []
        self.bytes_sent = 0
        self.now = 0.0
        self._names = {n: t.name for n, t in self.index.by_number.items()}
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._pending: dict[tuple[int, int], tuple[str, float]] = {}

    def zone_of(self, node: int) -> str:
        """Return the zone of a node."""
        return self.zones[node % len(self.zones)]

    def at(self, time: float, action, *arguments) -> None:
        """Call a function at a virtual time."""
        heapq.heappush(
            self._events, (time, next(self._order), action, arguments)
        )

    def run(self, until: float) -> None:
        """Run all events up to a virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def add_poisson(
        self,
        demand: Demand,
        node_weights: list[float],
        end: float,
        rng: random.Random,
        begin: float = 0.0,
    ) -> None:
        """Add the requests of a team, spread over the nodes by weight."""
        nodes = range(len(self.clients))
        time = begin + rng.expovariate(demand.per_s)
        while time < end:
            node = rng.choices(nodes, node_weights)[0]
            self.at(time, self.request, node, demand.team.name)
            time += rng.expovariate(demand.per_s)

    def request(self, node: int, team: str) -> None:
        """Let a node serve one request of a team."""
        if self._is_paused(node, self.request, node, team):
            return
        self.arrivals.append((self.now, team))
        client = self.clients[node]
        number = self._numbers[team]
        now = self.now + self._offsets[node]
        if client.try_take(number, now):
            self.granted[team].append(self.now)
            self.waits.append(0.0)
        else:
            key = client.wait(number, now + 5.0, now)
            self._pending[node, key] = team, self.now
        if client.has_work:
            self._poll(node)

    def count_refused(self, code: str = "") -> int:
        """Return the number of refusals, of one code or of all."""
        return sum(n for (_, c), n in self.refused.items() if code in ("", c))

    def _order_zones(self, node: int) -> list[str]:
        start = node % len(self.zones)
        others = self.zones[start + 1 :] + self.zones[:start]
        random.Random(node).shuffle(others)
        return [self.zones[start], *others]

    def _is_paused(self, node: int, action, *arguments) -> bool:
        """Return whether a node is frozen, and put the action off if so."""
        if self.paused_until[node] > self.now:
            self.at(self.paused_until[node], action, *arguments)
            return True
        return False

    def _poll(self, node: int) -> None:
        client = self.clients[node]
        offset_s = self._offsets[node]
        for request in client.poll(self.now + offset_s):
            self._send(node, request)
        for key, result in client.results:
            team, began_at = self._pending.pop((node, key))
            if isinstance(result, CapRefusal):
                place = team, result.code
                self.refused[place] = self.refused.get(place, 0) + 1
            else:
                self.granted[team].append(self.now)
                self.waits.append(self.now - began_at)
        client.results.clear()
        due = client.find_next_due()
        if due < float("inf"):
            time = max(due - offset_s, self.now + 1e-6)
            self.at(time, self._poll_if_due, node, due)

    def _poll_if_due(self, node: int, due: float) -> None:
        if self._is_paused(node, self._poll_if_due, node, due):
            return
        if self.clients[node].find_next_due() == due:
            self._poll(node)

    def _send(self, node: int, request: TokenRequest) -> None:
        self._count_bytes(len(request.entries))
        is_near = request.zone == self.zone_of(node)
        delay_s = DELAY_NEAR_S if is_near else DELAY_FAR_S
        self.at(self.now + delay_s, self._receive, node, request, delay_s)

    def _receive(self, node: int, request: TokenRequest, delay_s: float):
        zone = request.zone
        if zone in self.is_down or (node, zone) in self.cut:
            return
        allocator = self.allocators[zone]
        entries = allocator.lend(request.entries, request.epoch, self.now)
        if entries:
            self._count_bytes(len(entries))
            self.at(
                self.now + delay_s,
                self._accept,
                node,
                request.request_id,
                allocator.epoch,
                entries,
            )

    def _accept(self, node: int, request_id: int, epoch: int, entries):
        if self._is_paused(
            node, self._accept, node, request_id, epoch, entries
        ):
            return
        now = self.now + self._offsets[node]
        self.clients[node].handle_grant(request_id, epoch, entries, now)
        self._poll(node)

    def _count_bytes(self, entries: int) -> None:
        self.bytes_sent += MESSAGE_BYTES + ENTRY_BYTES * (entries - 1)
