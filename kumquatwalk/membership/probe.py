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
        waits_until: When to give up or to try through others, monotonic
            seconds; infinite once others were asked.
    """

    member: Member
    sequence: int
    waits_until: float
