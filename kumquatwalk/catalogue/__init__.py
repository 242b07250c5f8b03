"""Catalogue of entries: owners, classes of importance and limits."""

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.document import EMPTY_CATALOGUE
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.catalogue.reachability import list_reachable
from kumquatwalk.catalogue.store import CatalogueStore

__all__ = [
    "AuditRecord",
    "Catalogue",
    "CatalogueStore",
    "Change",
    "EMPTY_CATALOGUE",
    "Editor",
    "Entry",
    "Importance",
    "Limits",
    "list_reachable",
]
