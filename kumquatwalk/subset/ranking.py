"""Order in which a node prefers the nodes of a service."""

import dataclasses
import functools
import hashlib
from collections.abc import Iterable

from kumquatwalk.roster.entry import RosterEntry

__all__ = ["RankedNodes", "rank_nodes"]

_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RankedNodes:
    """Nodes of one service, each part by falling preference.

    Attributes:
        near: Identifiers of the nodes in the zone of the caller.
        far: Identifiers of the nodes in other zones.
    """

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()


def rank_nodes(
    caller_id: str, zone: str, entries: Iterable[RosterEntry]
) -> RankedNodes:
    """Rank nodes by rendezvous hashing (Thaler and Ravishankar, 1996).

    Each caller has an order of its own, found from the roster alone. A node
    that joins or leaves changes no other pair of the order, so few links move;
    the callers that prefer a node are spread evenly.

    Args:
        caller_id: Identifier of the node that opens the links.
        zone: Availability zone of that node.
        entries: Nodes of one service; the caller itself is left out.
    """
    near = []
    far = []
    for entry in entries:
        if entry.node_id != caller_id:
            is_near = entry.availability_zone == zone
            (near if is_near else far).append(entry.node_id)
    order = functools.partial(_hash_pair, caller_id)
    near.sort(key=order)
    far.sort(key=order)
    return RankedNodes(tuple(near), tuple(far))


def _hash_pair(caller_id: str, node_id: str) -> bytes:
    text = f"{caller_id}\n{node_id}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
