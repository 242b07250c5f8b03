"""Identifiers and services of the targets beside other nodes."""

import collections

__all__ = ["KnownTargets"]

# Bounds the memory of a node that runs for long in a changing fleet.
NODES_MAX = 4096


class KnownTargets:
    """Remembers which target beside each node was last ready.

    A node that is restarted does not know whether the process at the address of
    its target is still the one that it served before.
    """

    def __init__(self):
        self._targets = collections.OrderedDict[str, tuple[int, str]]()

    def record(self, node_id: str, target_key: int, service: str) -> None:
        """Record that a target is ready.

        Args:
            node_id: Identifier of the node beside it.
            target_key: Hash of its identifier, as the node has published it.
            service: Service of the target.
        """
        self._targets.pop(node_id, None)
        self._targets[node_id] = (target_key, service)
        if len(self._targets) > NODES_MAX:
            self._targets.popitem(last=False)

    def find(self, node_id: str) -> tuple[int, str]:
        """Return key and service of the last ready target beside a node.

        Args:
            node_id: Identifier of the node.

        Returns:
            Both; 0 and an empty text if none is known.
        """
        return self._targets.get(node_id, (0, ""))
