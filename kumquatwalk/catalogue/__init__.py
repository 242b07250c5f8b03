"""Catalogue of entries: owners, classes of importance and limits."""

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.document import EMPTY_CATALOGUE
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits

__all__ = [
    "AuditRecord",
    "Catalogue",
    "EMPTY_CATALOGUE",
    "Entry",
    "Importance",
    "Limits",
]
