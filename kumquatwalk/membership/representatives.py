"""Choice of the members that stand for a zone towards the platform."""

import hashlib
from collections.abc import Iterable

from kumquatwalk.membership.member import Member
from kumquatwalk.membership.table import is_living

__all__ = [
    "REPRESENTATIVE_COUNT",
    "choose_representatives",
    "is_representative",
]

REPRESENTATIVE_COUNT = 2


def _weigh(zone: str, node_id: str) -> bytes:
    return hashlib.blake2b(f"{zone} {node_id}".encode()).digest()


def choose_representatives(
    members: Iterable[Member], zone: str, count: int = REPRESENTATIVE_COUNT
) -> tuple[Member, ...]:
    """Return the living members of a zone with the highest hashes.

    Rendezvous hashing after Thaler and Ravishankar, "Using Name-Based Mappings
    to Increase Hit Rates" (IEEE/ACM Transactions on Networking, 1998): when a
    member comes or goes, only its own place changes hands.

    Args:
        members: All known members.
        zone: Zone to stand for.
        count: Number of representatives.

    Returns:
        At most ``count`` members, highest hash first.
    """
    living = [m for m in members if m.zone == zone and is_living(m)]
    living.sort(key=lambda m: _weigh(zone, m.node_id), reverse=True)
    return tuple(living[:count])


def is_representative(
    members: Iterable[Member], zone: str, node_id: str
) -> bool:
    """Return whether a node is one of its zone's representatives.

    Args:
        members: All known members.
        zone: Zone of the node.
        node_id: Node id of the node.
    """
    chosen = choose_representatives(members, zone)
    return any(member.node_id == node_id for member in chosen)
