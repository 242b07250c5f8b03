"""Membership of the fleet: who is there and what each target announces."""

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.callbacks import MembershipCallbacks
from kumquatwalk.membership.config import MembershipConfig
from kumquatwalk.membership.counters import Counters
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.membership.rendezvous import Rendezvous
from kumquatwalk.membership.rendezvous_config import RendezvousConfig
from kumquatwalk.membership.representatives import choose_representatives
from kumquatwalk.membership.representatives import is_representative
from kumquatwalk.membership.service import Membership
from kumquatwalk.membership.snapshot import Snapshot
from kumquatwalk.membership.timing import Timing

__all__ = [
    "Address",
    "BroadcastKind",
    "Counters",
    "Member",
    "MemberState",
    "Membership",
    "MembershipCallbacks",
    "MembershipConfig",
    "Rendezvous",
    "RendezvousConfig",
    "Snapshot",
    "TargetInfo",
    "TargetState",
    "Timing",
    "choose_representatives",
    "is_representative",
]
