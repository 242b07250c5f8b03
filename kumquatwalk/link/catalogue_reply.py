"""Answer to a request for the catalogue."""

import dataclasses

__all__ = ["CatalogueReply"]


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueReply:
    """The catalogue of a peer.

    Attributes:
        revision: Revision in force at the peer.
        document: Encoded document; empty when it is not newer.
    """

    revision: int
    document: bytes
