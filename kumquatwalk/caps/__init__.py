"""Caps of teams over the fleet: lending of tokens, pure decisions."""

from kumquatwalk.caps.allocator import Allocator
from kumquatwalk.caps.client import CapClient
from kumquatwalk.caps.client import TokenRequest
from kumquatwalk.caps.entry import TokenEntry
from kumquatwalk.caps.grants import GRANT_LIFETIME_S
from kumquatwalk.caps.record import CapRecord
from kumquatwalk.caps.record import decode_record
from kumquatwalk.caps.record import encode_record
from kumquatwalk.caps.refusal import CapRefusal
from kumquatwalk.caps.right import LendingRight
from kumquatwalk.caps.succession import RecordObserver
from kumquatwalk.caps.team_index import TeamIndex

__all__ = [
    "Allocator",
    "CapClient",
    "CapRecord",
    "CapRefusal",
    "GRANT_LIFETIME_S",
    "LendingRight",
    "RecordObserver",
    "TeamIndex",
    "TokenEntry",
    "TokenRequest",
    "decode_record",
    "encode_record",
]
