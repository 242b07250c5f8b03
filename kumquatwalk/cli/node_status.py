"""Which revision each node runs, put together from several views."""

import dataclasses

from kumquatwalk.cli.node_view import NodeView

__all__ = ["NodeStatus", "merge_views"]

_LEFT = "left"
_ALIVE = "alive"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """State of one node as far as the asked nodes know.

    Attributes:
        node_id: Name of the node.
        zone: Availability zone of the node.
        revision: Highest catalogue revision heard from it.
        reach: ``alive`` when all asked nodes see it alive, ``left`` when it
            left; ``cut_off`` when some see it alive and others do not;
            ``unknown`` when none sees it alive.
        is_current: Whether it is known to run the platform's revision or a
            higher one; None when the platform's revision is not known or the
            node is not seen alive.
    """

    node_id: str
    zone: str
    revision: int
    reach: str
    is_current: bool | None


def merge_views(
    views: tuple[NodeView, ...], platform_revision: int | None
) -> tuple[NodeStatus, ...]:
    """Return the status of all nodes that any of the asked nodes knows.

    Args:
        views: Answers of the asked nodes.
        platform_revision: Revision in the platform; None when not known.

    Returns:
        One status for each node, sorted by zone and name.
    """
    answered = [view for view in views if not view.error]
    seen: dict[str, list] = {}
    for view in answered:
        for member in view.members:
            seen.setdefault(member.node_id, []).append(member)
    statuses = [
        _merge(members, len(answered), platform_revision)
        for members in seen.values()
    ]
    return tuple(sorted(statuses, key=lambda s: (s.zone, s.node_id)))


def _merge(
    members: list, answered: int, platform_revision: int | None
) -> NodeStatus:
    states = [member.state for member in members]
    revision = max(member.revision for member in members)
    reach = _judge_reach(states, answered)
    is_current = None
    if platform_revision is not None and _ALIVE in states:
        is_current = revision >= platform_revision
    first = members[0]
    return NodeStatus(first.node_id, first.zone, revision, reach, is_current)


def _judge_reach(states: list[str], answered: int) -> str:
    alive = states.count(_ALIVE)
    if alive == answered:
        return _ALIVE
    if alive:
        return "cut_off"
    return _LEFT if _LEFT in states else "unknown"
