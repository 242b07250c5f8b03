"""Audit record of one accepted catalogue change."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry

__all__ = ["AuditRecord"]


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRecord:
    """Accepted change of one entry, written atomically with the change.

    Attributes:
        revision: Catalogue revision that the change produced.
        change_id: Random identifier chosen by the editor before the write. It
            shows whether a write whose response was lost took effect.
        author: Operator who made the change.
        reason: Reason given by the operator.
        at_unix_ms: Editor's wall clock time, in milliseconds since the epoch.
        entry_name: Name of the changed entry.
        before: Entry before the change; None if it was added.
        after: Entry after the change; None if it was removed.
    """

    revision: int
    change_id: str
    author: str
    reason: str
    at_unix_ms: int
    entry_name: str
    before: Entry | None
    after: Entry | None
