"""Targets that have said that they leave."""

import collections

from kumquatwalk.mesh.message import TargetStatus

__all__ = ["LeavingTargets"]

# Bounds the memory of a node that runs for long in a changing fleet.
NODES_MAX = 4096


class LeavingTargets:
    """Remembers which target beside each node has said that it leaves.

    The node beside a target forgets it when it is restarted, and a late
    heartbeat may then say that the target is ready.
    """

    def __init__(self):
        self._leaving = collections.OrderedDict[str, tuple[int, int]]()

    def record(self, node_id: str, status: TargetStatus) -> None:
        """Record that the target beside a node leaves.

        Args:
            node_id: Identifier of the node.
            status: Status that the node has published of its target.
        """
        self._leaving.pop(node_id, None)
        self._leaving[node_id] = (status.target_key, status.target_start_ms)
        if len(self._leaving) > NODES_MAX:
            self._leaving.popitem(last=False)

    def find(self, node_id: str) -> tuple[int, int]:
        """Return key and start of the last target beside a node that left.

        Args:
            node_id: Identifier of the node.

        Returns:
            As in ``TargetStatus``; both 0 if there is none or its start is not
            known.
        """
        key, start_ms = self._leaving.get(node_id, (0, 0))
        return (key, start_ms) if start_ms else (0, 0)

    def __bool__(self) -> bool:
        return bool(self._leaving)

    def has(self, node_id: str, status: TargetStatus) -> bool:
        """Return whether the target beside a node has said that it leaves.

        A start that is not known may be the same one.

        Args:
            node_id: Identifier of the node.
            status: Status that the node has published of its target.
        """
        leaving = self._leaving.get(node_id)
        if leaving is None:
            return False
        key, start_ms = leaving
        return key == status.target_key and (
            start_ms == status.target_start_ms
            or not start_ms
            or not status.target_start_ms
        )
