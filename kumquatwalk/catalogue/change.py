"""A change of one entry that an operator asks for."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry

__all__ = ["Change"]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one entry, before it is accepted.

    Attributes:
        entry_name: Name of the entry.
        after: Entry as it should be; None removes it.
        change_id: Random identifier that settles whether a write with a lost
            answer took effect.
        expected_revision: Catalogue revision that the operator looked at; the
            change is refused if the entry was changed after it. None takes
            the revision first read.
    """

    entry_name: str
    after: Entry | None
    change_id: str
    expected_revision: int | None = None
