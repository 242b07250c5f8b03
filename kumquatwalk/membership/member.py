"""A member of the fleet: one node and what it says of its target."""

import dataclasses
import enum

__all__ = ["Member", "MemberState", "TargetInfo", "TargetState"]


class MemberState(enum.IntEnum):
    """State of a member as seen by the failure detector."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(enum.IntEnum):
    """State of the target on a member's VM, as the target announced it."""

    ABSENT = 0
    WARMING = 1
    READY = 2
    DRAINING = 3


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInfo:
    """What a node announces of the target on its VM.

    Attributes:
        service: Name of the service that the target serves; empty when absent.
        slots: Calls that the target says it can run at once.
        connections: Connections that the target says it accepts.
        state: State announced by the target.
    """

    service: str = ""
    slots: int = 0
    connections: int = 0
    state: TargetState = TargetState.ABSENT


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One node of the fleet.

    Attributes:
        node_id: Name of the node, unique in the fleet.
        incarnation: Start of the node's process, milliseconds since the epoch;
            a restarted node has a higher one.
        version: Counter that the node raises with each change of its own
            record within one incarnation.
        zone: Availability zone of the node's VM.
        host: IP number of the VM.
        link_port: TCP port for links from other nodes.
        gossip_port: UDP port for membership messages.
        state: State seen by the failure detector.
        target: What the node announced of its target.
        catalogue_revision: Revision of the catalogue in force at the node.
    """

    node_id: str
    incarnation: int
    version: int
    zone: str
    host: str
    link_port: int
    gossip_port: int
    state: MemberState = MemberState.ALIVE
    target: TargetInfo = TargetInfo()
    catalogue_revision: int = 0
