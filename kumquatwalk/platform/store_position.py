"""Position in the history of the store."""

import dataclasses

__all__ = ["ABSENT", "StorePosition"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Revision together with the era of the store that gave it out.

    A store that is restored from a copy loses its last writes and gives their
    revisions out again, in a new era. A revision therefore has a meaning only
    within its era; positions of a later era are later.

    Attributes:
        era: Number of the era; 0 for a store that names none.
        revision: Revision within the era.
    """

    era: int
    revision: int


# Position of a key that does not exist, in any era.
ABSENT = StorePosition(0, 0)
