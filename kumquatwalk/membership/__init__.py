"""Membership of the fleet: who is there and what each target announces."""

from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState

__all__ = ["Member", "MemberState", "TargetInfo", "TargetState"]
