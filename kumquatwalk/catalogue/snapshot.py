"""The catalogue as read from the platform's service."""

import dataclasses

from kumquatwalk.catalogue.document import Catalogue

__all__ = ["Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The catalogue as read once.

    Attributes:
        catalogue: Catalogue read.
        key_revision: Revision of its key; 0 when it does not exist.
    """

    catalogue: Catalogue
    key_revision: int
