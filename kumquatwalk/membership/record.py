"""A member's full record as it travels between nodes."""

import dataclasses

from kumquatwalk.membership.member import Member

__all__ = ["MemberRecord"]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """A member's full record as it travels between nodes.

    Attributes:
        member: The member.
        age_s: Time since the member was found DEAD or LEFT, in seconds; zero
            for a living member.
    """

    member: Member
    age_s: int = 0
