"""Catalogue document: all entries at one revision."""

import dataclasses
from collections.abc import Mapping

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.entry import Entry

__all__ = ["Catalogue", "EMPTY_CATALOGUE"]


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """All entries at one revision, with the latest audit records.

    Attributes:
        revision: Number of accepted changes so far; monotonically increasing.
        entries: Entries by name. Treat as read-only.
        records: Latest audit records, oldest first, ending at ``revision``.
    """

    revision: int
    entries: Mapping[str, Entry]
    records: tuple[AuditRecord, ...] = ()


EMPTY_CATALOGUE = Catalogue(revision=0, entries={})
