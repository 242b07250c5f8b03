"""Which revision each node runs, put together from several views."""

import dataclasses
from collections.abc import Sequence

from kumquatwalk.cli.member_row import MemberRow
from kumquatwalk.cli.member_row import MemberTable

__all__ = ["NodeStatus", "merge_tables"]

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


def merge_tables(
    tables: Sequence[MemberTable], platform_revision: int | None
) -> tuple[NodeStatus, ...]:
    """Return the status of all nodes that any of the asked nodes knows.

    Args:
        tables: Members as seen by each node that answered.
        platform_revision: Revision in the platform; None when not known.

    Returns:
        One status for each node, sorted by zone and name.
    """
    seen: dict[str, list[MemberRow]] = {}
    for table in tables:
        for row in table.rows:
            seen.setdefault(row.node_id, []).append(row)
    statuses = [
        _merge(rows, len(tables), platform_revision) for rows in seen.values()
    ]
    return tuple(sorted(statuses, key=lambda s: (s.zone, s.node_id)))


def _merge(
    rows: list[MemberRow], asked: int, platform_revision: int | None
) -> NodeStatus:
    states = [row.state for row in rows]
    revision = max(row.catalogue_revision for row in rows)
    reach = _judge_reach(states, asked)
    is_current = None
    if platform_revision is not None and _ALIVE in states:
        is_current = revision >= platform_revision
    first = rows[0]
    return NodeStatus(first.node_id, first.zone, revision, reach, is_current)


def _judge_reach(states: list[str], asked: int) -> str:
    alive = states.count(_ALIVE)
    if alive == asked:
        return _ALIVE
    if alive:
        return "cut_off"
    return _LEFT if _LEFT in states else "unknown"
