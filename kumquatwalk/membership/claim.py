"""A claim about a member's state that leaves out the rest of its record."""

import dataclasses

from kumquatwalk.membership.member import MemberState

__all__ = ["StateClaim"]


@dataclasses.dataclass(frozen=True, slots=True)
class StateClaim:
    """Claim that a member, known at a version, is in a state.

    Attributes:
        node_id: Node id of the member.
        incarnation: Incarnation that the claim is about.
        version: Version of the record that the claim is about.
        state: Claimed state.
    """

    node_id: str
    incarnation: int
    version: int
    state: MemberState
