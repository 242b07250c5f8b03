"""Estimates for the whole fleet from the targets that a node is linked to."""

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.routing.target_choice import TargetView

__all__ = [
    "WeightedView",
    "estimate_targets",
    "weigh_views",
    "weigh_views_by_zone",
]


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedView:
    """State of a target, and how many targets of its service it stands for.

    Attributes:
        view: State of a target whose node is linked.
        weight: Nodes of the service in the fleet, over those linked.
    """

    view: TargetView
    weight: float


def weigh_views(
    views: Sequence[TargetView], nodes: Mapping[str, int]
) -> list[WeightedView]:
    """Return views with the number of targets that each stands for.

    Args:
        views: Views of the linked targets and the own one.
        nodes: Number of nodes of each service in the roster.
    """
    linked: dict[str, int] = {}
    for view in views:
        linked[view.service] = linked.get(view.service, 0) + 1
    weights = {
        service: max(1.0, nodes.get(service, 0) / count)
        for service, count in linked.items()
    }
    return [WeightedView(view, weights[view.service]) for view in views]


def weigh_views_by_zone(
    views: Sequence[TargetView],
    nodes: Mapping[tuple[str, str], int],
    zone: str,
) -> list[WeightedView]:
    """Return views with weights that count each zone by its size.

    Two thirds of the linked nodes are in the own zone. Where zones are loaded
    unevenly, equal weights would take the load of the own zone for that of the
    fleet. A service of which only one of the two parts is linked has equal
    weights.

    Args:
        views: Views of the linked targets and the own one.
        nodes: Number of nodes in the roster, by service and zone.
        zone: Zone of this node.
    """
    sizes: dict[tuple[str, bool], int] = {}
    for (service, its_zone), count in nodes.items():
        part = service, its_zone == zone
        sizes[part] = sizes.get(part, 0) + count
    linked: dict[tuple[str, bool], int] = {}
    for view in views:
        part = view.service, view.availability_zone == zone
        linked[part] = linked.get(part, 0) + 1
    weighted = []
    for view in views:
        service = view.service
        parts = ((service, True), (service, False))
        if all(sizes.get(p, 0) == 0 or linked.get(p, 0) for p in parts):
            part = service, view.availability_zone == zone
            weight = sizes.get(part, 0) / linked[part]
        else:
            count = sum(linked.get(p, 0) for p in parts)
            weight = sum(sizes.get(p, 0) for p in parts) / count
        weighted.append(WeightedView(view, max(1.0, weight)))
    return weighted


def estimate_targets(views: Sequence[TargetView], nodes: int) -> int:
    """Return how many targets of a service accept calls in the fleet.

    Args:
        views: Views of the linked targets of the service and the own one.
        nodes: Number of nodes of the service in the roster.
    """
    if not views:
        return 0
    accepting = sum(v.is_reachable and v.accepts_calls for v in views)
    return round(accepting * max(len(views), nodes) / len(views))
