"""Commands to the thread of the membership service."""

import dataclasses

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.member import TargetInfo

__all__ = [
    "Close",
    "Command",
    "Leave",
    "PublishRevision",
    "PublishTarget",
    "SendBroadcast",
    "SetSeeds",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PublishTarget:
    """Change what the node announces of its target."""

    target: TargetInfo


@dataclasses.dataclass(frozen=True, slots=True)
class PublishRevision:
    """Set the catalogue revision that the node has in force."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendBroadcast:
    """Spread a payload to all members."""

    kind: BroadcastKind
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SetSeeds:
    """Set the addresses found by rendezvous."""

    addresses: frozenset[Address]


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """Spread that the node leaves."""


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Stop the thread."""


Command = (
    PublishTarget | PublishRevision | SendBroadcast | SetSeeds | Leave | Close
)
