"""Lease of the store."""

import dataclasses

__all__ = ["StoreLease"]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLease:
    """Lease together with the era of the store that granted it.

    A store that is restored from a copy gives out lease numbers again, so that
    in a later era the number may belong to another node.

    Attributes:
        era: Number of the era; 0 for a store that names none.
        number: Number of the lease within the era.
    """

    era: int
    number: int
