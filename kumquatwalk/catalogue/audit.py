"""Audit record of one accepted catalogue change."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry

__all__ = ["AuditRecord"]


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRecord:
    """One accepted change of one entry, written together with the change.

    Attributes:
        revision: Catalogue revision that the change produced.
        change_id: Random identifier chosen by the editor before the write; it
            settles whether a write with a lost answer took effect.
        author: Operator who made the change.
        reason: Why, in the operator's words.
        at_unix_ms: Editor's wall clock time, in milliseconds since the epoch.
        entry_name: Name of the entry changed.
        before: The entry before the change; None when it was added.
        after: The entry after the change; None when it was removed.
    """

    revision: int
    change_id: str
    author: str
    reason: str
    at_unix_ms: int
    entry_name: str
    before: Entry | None
    after: Entry | None
