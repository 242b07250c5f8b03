"""Catalogue together with its revision in the key-value store."""

import dataclasses

from kumquatwalk.catalogue.document import Catalogue

__all__ = ["Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of one read of the catalogue.

    Attributes:
        catalogue: Catalogue that was read.
        key_revision: Store revision of the catalogue's key; 0 if the key does
            not exist.
    """

    catalogue: Catalogue
    key_revision: int
