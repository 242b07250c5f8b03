"""Duties that a few nodes carry for the others."""

import hashlib
from collections.abc import Collection

__all__ = ["holds_duty", "list_holders"]


def holds_duty(node_id: str, node_ids: Collection[str], holders: int) -> bool:
    """Return whether a node is among those that carry a duty.

    The holders are the nodes with the lowest hashes, so that no agreement is
    needed. Nodes with different views of the others may have different holders;
    a duty must therefore stand being carried by more or fewer of them.

    Args:
        node_id: Node that asks; one that is not listed holds no duty.
        node_ids: Nodes that share the duty.
        holders: Number of nodes that carry it.
    """
    if node_id not in node_ids:
        return False
    own = _hash(node_id)
    return sum(_hash(other) < own for other in node_ids) < holders


def list_holders(node_ids: Collection[str], holders: int) -> list[str]:
    """Return the nodes that carry a duty, in a fixed order; see ``holds_duty``.

    Args:
        node_ids: Nodes that share the duty.
        holders: Number of nodes that carry it.
    """
    return sorted(node_ids, key=_hash)[:holders]


def _hash(node_id: str) -> bytes:
    return hashlib.blake2b(node_id.encode(), digest_size=8).digest()
