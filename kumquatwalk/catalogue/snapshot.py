"""Catalogue together with its position in the key-value store."""

import dataclasses

from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.platform.store_position import StorePosition

__all__ = ["Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Result of one read of the catalogue.

    Attributes:
        catalogue: Catalogue that was read.
        key_position: Store position of the catalogue's key; ``ABSENT`` if the
            key does not exist.
    """

    catalogue: Catalogue
    key_position: StorePosition
