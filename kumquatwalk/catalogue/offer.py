"""Result of offering a catalogue or records to a replica."""

import dataclasses
import enum

__all__ = ["OfferOutcome", "OfferResult"]


class OfferOutcome(enum.Enum):
    """What a replica did with what it was offered."""

    TAKEN = "taken"
    SAME = "same"
    OLDER = "older"
    GAP = "gap"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class OfferResult:
    """What a replica did, and why; true when it took what was offered.

    Attributes:
        outcome: What the replica did.
        previous_revision: Revision in force before the offer.
        offered_revision: Revision offered.
        code: Code of the rule that was broken; empty unless invalid.
        message: Explanation for people; empty when taken.
    """

    outcome: OfferOutcome
    previous_revision: int
    offered_revision: int
    code: str = ""
    message: str = ""

    def __bool__(self) -> bool:
        return self.outcome is OfferOutcome.TAKEN
