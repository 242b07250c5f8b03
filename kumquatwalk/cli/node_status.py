"""Catalogue revision and reachability of nodes, merged from several views."""

import dataclasses
from collections.abc import Sequence

from kumquatwalk.cli.member_row import MemberRow
from kumquatwalk.cli.member_row import MemberTable

__all__ = ["NodeStatus", "merge_tables"]

_LEFT = "left"
_ALIVE = "alive"
# A node outside the subset of the one that was asked, which says nothing of it.
_UNLINKED = "unlinked"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of one node, merged from the views of the queried nodes.

    Attributes:
        node_id: Identifier of the node.
        zone: Availability zone of the node.
        revision: Highest catalogue revision reported for it.
        reach: ``alive`` if all queried nodes see it alive, ``cut_off`` if some
            do and others do not; if none does, ``left`` if a node reports that
            it left, and ``unknown`` otherwise. Nodes that are not linked to it
            do not count.
        is_current: Whether it runs the platform's revision or a higher one;
            None if the platform's revision is not known or no node sees it
            alive.
    """

    node_id: str
    zone: str
    revision: int
    reach: str
    is_current: bool | None


def merge_tables(
    tables: Sequence[MemberTable], platform_revision: int | None
) -> tuple[NodeStatus, ...]:
    """Merge membership tables into one status for each node.

    Args:
        tables: Membership table of each node that responded.
        platform_revision: Revision in the platform; None if not known.

    Returns:
        One status for each node in any of the tables, sorted by zone and
        identifier.
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
    states = [row.state for row in rows if row.state != _UNLINKED]
    asked -= len(rows) - len(states)
    revision = max(row.catalogue_revision for row in rows)
    reach = _classify_reach(states, asked)
    is_current = None
    if platform_revision is not None and _ALIVE in states:
        is_current = revision >= platform_revision
    first = rows[0]
    return NodeStatus(first.node_id, first.zone, revision, reach, is_current)


def _classify_reach(states: list[str], asked: int) -> str:
    alive = states.count(_ALIVE)
    if alive and alive == asked:
        return _ALIVE
    if alive:
        return "cut_off"
    return _LEFT if _LEFT in states else "unknown"
