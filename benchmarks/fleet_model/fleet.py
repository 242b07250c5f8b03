"""Fleet of the model: nodes, their targets, and who is linked to whom."""

import dataclasses
import random

from benchmarks.fleet_model.design import Design
from kumquatwalk.address import Address
from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.routing.target_choice import TargetView
from kumquatwalk.subset import SUBSET_SIZES
from kumquatwalk.subset import rank_nodes
from kumquatwalk.subset import select_nodes
from kumquatwalk.targets.heartbeat import TargetState

__all__ = ["ModelNode", "make_nodes"]

ZONES = 5
SERVICES = ("portal", "payments", "registry", "desk")
# Speeds of the targets of a service, as in the letter of the large fleet.
SPEEDS = (0.6, 1.0, 1.4)
SLOTS = 8
RUN_S = 0.25


@dataclasses.dataclass(slots=True)
class ModelNode:
    """Node with its target.

    Attributes:
        entry: Entry in the roster.
        speed: Speed of the target; a run takes its time over this.
        running: Runs in progress at the target.
        waiting: Calls that wait there: time of arrival, caller and its view.
        arrivals: Calls that have arrived at the target.
        views: State of the linked targets as this node knows it, by service.
        observers: Views of this node's target that other nodes have.
    """

    entry: RosterEntry
    speed: float
    running: int = 0
    waiting: list = dataclasses.field(default_factory=list)
    arrivals: int = 0
    views: dict[str, list[TargetView]] = dataclasses.field(default_factory=dict)
    observers: list[TargetView] = dataclasses.field(default_factory=list)

    @property
    def zone(self) -> str:
        """Availability zone of the node."""
        return self.entry.availability_zone

    def link_to(self, other: "ModelNode", now: float) -> None:
        """Open a link to another node, which sends its status at once.

        Args:
            other: Node to link to.
            now: Virtual time, in seconds.
        """
        view = TargetView(other.entry.node_id, other.zone, other.entry.service)
        view.is_reachable = True
        view.update_status(other.make_status(), now)
        self.views.setdefault(other.entry.service, []).append(view)
        other.observers.append(view)

    def make_status(self) -> TargetStatus:
        """Return the status that the node sends to others."""
        return TargetStatus(
            TargetState.READY,
            limit=SLOTS,
            running=self.running,
            queued=len(self.waiting),
            route_times=(("call", RUN_S / self.speed),),
        )


def make_nodes(count: int, design: Design, rng: random.Random):
    """Return nodes that are linked as the design says.

    Args:
        count: Number of nodes.
        design: Design of the fleet.
        rng: Source of the random speeds.

    Returns:
        The nodes by identifier.
    """
    nodes = {}
    for n in range(count):
        service = SERVICES[n % len(SERVICES)]
        zone = f"z{n // len(SERVICES) % ZONES}"
        entry = RosterEntry(f"n{n}", 1, zone, service, Address("10.0.0.1", 1))
        nodes[entry.node_id] = ModelNode(entry, rng.choice(SPEEDS))
    for node in nodes.values():
        for other in list_links(node, nodes, design):
            node.link_to(other, 0.0)
    return nodes


def list_links(
    node: ModelNode, nodes: dict[str, ModelNode], design: Design
) -> list[ModelNode]:
    """Return the nodes that a node is linked to.

    Args:
        node: The node.
        nodes: All nodes by identifier.
        design: Design of the fleet.
    """
    own_id = node.entry.node_id
    if not design.has_subset:
        return [other for i, other in nodes.items() if i != own_id]
    links = []
    for service in SERVICES:
        entries = [
            n.entry for n in nodes.values() if n.entry.service == service
        ]
        ranked = rank_nodes(own_id, node.zone, entries)
        links += [nodes[i] for i in select_nodes(ranked, (), SUBSET_SIZES)]
    return links
