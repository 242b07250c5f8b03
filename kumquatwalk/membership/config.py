"""Settings of the membership service."""

import dataclasses

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.timing import Timing

__all__ = ["MembershipConfig"]


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Settings of the membership service.

    Attributes:
        node_id: Name of the node, unique in the fleet.
        incarnation: Start of the node's process, milliseconds since the epoch.
        zone: Availability zone of the node's VM.
        host: IP number of the VM, on which membership messages are taken.
        link_port: TCP port for links from other nodes.
        gossip_port: UDP port for membership messages; zero lets the operating
            system choose.
        peers: UDP addresses of nodes through which to join.
        timing: Intervals and limits of the protocol.
    """

    node_id: str
    incarnation: int
    zone: str
    host: str
    link_port: int
    gossip_port: int
    peers: tuple[Address, ...] = ()
    timing: Timing = Timing()
