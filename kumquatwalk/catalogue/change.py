"""Requested change of one catalogue entry."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry

__all__ = ["Change"]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Requested change of one entry, not yet accepted.

    Attributes:
        entry_name: Name of the entry.
        after: New value of the entry; None removes it.
        change_id: Random identifier that shows whether a write whose response
            was lost took effect.
        expected_revision: Catalogue revision that the operator last read. The
            change is rejected if the entry was changed after it. None stands
            for the first revision that the edit reads.
    """

    entry_name: str
    after: Entry | None
    change_id: str
    expected_revision: int | None = None
