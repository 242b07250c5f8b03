"""A probe in progress."""

import dataclasses

from kumquatwalk.membership.member import Member

__all__ = ["Probe"]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A probe in progress.

    Attributes:
        member: Member that is probed.
        sequence: Number that its answer carries.
        indirect_at: When to try through others, monotonic seconds; infinite
            once that was done.
    """

    member: Member
    sequence: int
    indirect_at: float
