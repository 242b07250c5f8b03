"""A membership message, as exchanged between two nodes."""

import dataclasses

from kumquatwalk.membership.address import Address
from kumquatwalk.membership.kind import MessageKind

__all__ = ["Message"]


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One datagram between two membership services.

    Attributes:
        kind: What the message asks or answers.
        sequence: Number that pairs an answer with its question.
        sender: Node id of the sender.
        incarnation: Incarnation of the sender.
        catalogue_revision: Revision of the catalogue in force at the sender.
        digest: Digest of the living members in the sender's table.
        target: Address to probe on behalf of the sender; for PING_REQUEST.
        buckets: Bucket numbers, one byte each; for SYNC and PAGE.
        digests: Digest of each of those buckets; for SYNC.
        items: Encoded member records, state claims and broadcasts.
    """

    kind: MessageKind
    sequence: int
    sender: str
    incarnation: int
    catalogue_revision: int = 0
    digest: int = 0
    target: Address | None = None
    buckets: bytes = b""
    digests: tuple[int, ...] = ()
    items: bytes = b""
