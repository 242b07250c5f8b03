"""Request for the catalogue of a peer."""

import dataclasses

__all__ = ["CatalogueRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueRequest:
    """Asks for the document when it is newer than a revision.

    Attributes:
        after_revision: Revision that the asking node has.
    """

    after_revision: int
