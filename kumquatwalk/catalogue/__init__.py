"""Catalogue of entries: owners, classes of importance and limits."""

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.document import EMPTY_CATALOGUE
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.catalogue.offer import OfferOutcome
from kumquatwalk.catalogue.offer import OfferResult
from kumquatwalk.catalogue.reachability import list_reachable
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.catalogue.watcher import CatalogueWatcher

__all__ = [
    "AuditRecord",
    "Catalogue",
    "CatalogueReplica",
    "CatalogueStore",
    "CatalogueWatcher",
    "Change",
    "EMPTY_CATALOGUE",
    "Editor",
    "Entry",
    "Importance",
    "Limits",
    "OfferOutcome",
    "OfferResult",
    "list_reachable",
]
