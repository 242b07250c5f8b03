"""Estimates for the whole fleet from the targets that a node is linked to."""

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from kumquatwalk.routing.target_choice import TargetView

__all__ = ["WeightedView", "estimate_targets", "weigh_views"]


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
