"""Whether this node stands for its availability zone at the platform."""

import time

from kumquatwalk.membership.representatives import choose_representatives
from kumquatwalk.membership.service import Membership

__all__ = ["ZoneRole"]

_ALONE_S = 2.0


class ZoneRole:
    """Tells whether this node represents its zone.

    Args:
        node_id: Name of this node.
        zone: Its availability zone.
        membership: Members known.
        started_at: Monotonic time at which the node started.
    """

    def __init__(
        self, node_id: str, zone: str, membership: Membership, started_at: float
    ):
        self._node_id = node_id
        self._zone = zone
        self._membership = membership
        self._started_at = started_at

    def is_representative(self) -> bool:
        """Return whether this node watches the platform for its zone.

        A node that has just started knows nobody and would take itself for
        the representative, so it waits until it has joined.
        """
        age_s = time.monotonic() - self._started_at
        if age_s < _ALONE_S and not self._membership.wait_joined(0.0):
            return False
        members = self._membership.snapshot().members.values()
        chosen = choose_representatives(members, self._zone)
        return any(member.node_id == self._node_id for member in chosen)
