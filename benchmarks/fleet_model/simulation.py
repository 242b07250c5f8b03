"""Simulation of calls between the nodes of a fleet, in virtual time."""

import collections
import heapq
import itertools
import random

from benchmarks.fleet_model.design import Design
from benchmarks.fleet_model.fleet import RUN_S
from benchmarks.fleet_model.fleet import SERVICES
from benchmarks.fleet_model.fleet import SLOTS
from benchmarks.fleet_model.fleet import ModelNode
from benchmarks.fleet_model.fleet import list_links
from benchmarks.fleet_model.fleet import make_nodes
from kumquatwalk.address import Address
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.target_choice import ChoiceContext
from kumquatwalk.routing.target_choice import choose_target
from kumquatwalk.routing.target_choice import estimate_cost

__all__ = ["CallSimulation"]

OBJECTIVE_S = 1.0
CALL_KB = 0.5
# Costs are compared with this relative jitter, as in the baseline's code.
_JITTER = 0.1


class CallSimulation:
    """Plays calls at random times from all nodes to all services.

    Args:
        count: Number of nodes.
        design: Design of the fleet.
        calls_per_s: Calls of each node, per second.
        seed: Seed of all random choices.

    Attributes:
        nodes: The nodes by identifier.
        waits: Times that calls waited at their targets, in seconds.
        first_call_at: Virtual time at which a target that joined got its first
            call from another node; None before.
    """

    def __init__(
        self, count: int, design: Design, calls_per_s: float, seed: int
    ):
        self._design = design
        self._calls_per_s = calls_per_s
        self._rng = random.Random(seed)
        self.nodes = make_nodes(count, design, self._rng)
        self._events: list = []
        self._order = itertools.count()
        self._now = 0.0
        self.waits: list[float] = []
        self._joined: ModelNode | None = None
        self.first_call_at: float | None = None
        for node in self.nodes.values():
            self._start_node(node)

    def play(self, until_s: float) -> None:
        """Play events until a virtual time.

        Args:
            until_s: End, in seconds.
        """
        while self._events and self._events[0][0] <= until_s:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self._now = until_s

    def join(self) -> None:
        """Add a node with an empty target of the last service, in zone z0."""
        service = SERVICES[-1]
        entry = RosterEntry("joined", 1, "z0", service, Address("10.0.0.1", 1))
        node = ModelNode(entry, 1.0)
        self.nodes["joined"] = node
        self._joined = node
        self._start_node(node)
        for other in list_links(node, self.nodes, self._design):
            node.link_to(other, self._now)
            # Its ends know it by its first message.
            self._schedule(0.01, self._learn, other, node)
        for other in tuple(self.nodes.values()):
            if other is not node:
                delay_s = self._rng.random() * self._design.roster_delay_s
                self._schedule(delay_s, self._learn, other, node)

    def measure_spread(self) -> float:
        """Return the highest load of a target over the mean of its service.

        The load is the arrivals over the speed, so that a target that gets as
        many as it can run counts as the mean.
        """
        by_service = collections.defaultdict(list)
        for node in self.nodes.values():
            load = node.arrivals / node.speed
            by_service[node.entry.service].append(load)
        return max(
            max(loads) / (sum(loads) / len(loads))
            for loads in by_service.values()
        )

    def _learn(self, node: ModelNode, joined: ModelNode) -> None:
        """Link a node to one that joined, if its design says so."""
        views = node.views.get(joined.entry.service, [])
        if any(v.node_id == joined.entry.node_id for v in views):
            return
        if joined in list_links(node, self.nodes, self._design):
            node.link_to(joined, self._now)

    def _schedule(self, delay_s: float, function, *arguments) -> None:
        event = (self._now + delay_s, next(self._order), function, arguments)
        heapq.heappush(self._events, event)

    def _start_node(self, node: ModelNode) -> None:
        delay_s = self._rng.expovariate(self._calls_per_s)
        self._schedule(delay_s, self._call, node)
        interval_s = self._design.status_interval_s
        phase_s = self._rng.random() * interval_s
        self._schedule(phase_s, self._publish, node)

    def _publish(self, node: ModelNode) -> None:
        status = node.make_status()
        for view in node.observers:
            view.update_status(status, self._now)
        interval_s = self._design.status_interval_s
        self._schedule(interval_s, self._publish, node)

    def _call(self, node: ModelNode) -> None:
        delay_s = self._rng.expovariate(self._calls_per_s)
        self._schedule(delay_s, self._call, node)
        view = self._choose(node, self._rng.choice(SERVICES))
        if view is None:
            return
        target = self.nodes[view.node_id]
        target.arrivals += 1
        if target is self._joined and self.first_call_at is None:
            self.first_call_at = self._now
        view.in_flight += 1
        target.waiting.append((self._now, view))
        self._start_runs(target)

    def _choose(self, node: ModelNode, service: str):
        context = ChoiceContext(
            node.zone,
            "call",
            OBJECTIVE_S,
            CALL_KB,
            frozenset(),
            self._now,
        )
        views = node.views.get(service, [])
        if self._design.has_subset:
            return choose_target(views, context, self._rng)
        return min(
            views,
            key=lambda v: estimate_cost(v, context)
            * self._rng.uniform(1.0 - _JITTER, 1.0 + _JITTER),
            default=None,
        )

    def _start_runs(self, target: ModelNode) -> None:
        while target.waiting and target.running < SLOTS:
            arrived_at, view = target.waiting.pop(0)
            self.waits.append(self._now - arrived_at)
            target.running += 1
            run_s = self._rng.expovariate(1.0) * RUN_S / target.speed
            self._schedule(run_s, self._end_run, target, view)

    def _end_run(self, target: ModelNode, view) -> None:
        target.running -= 1
        view.in_flight -= 1
        # The reply carries the load.
        view.running = target.running
        view.queued = len(target.waiting)
        view.in_flight_reported = view.in_flight
        self._start_runs(target)
