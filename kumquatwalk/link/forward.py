"""A caller's request passed to the node that owns its ticket or claim."""

import dataclasses

__all__ = ["Forward"]


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A repeat of a request whose first copy another node has taken.

    Attributes:
        method: HTTP method.
        url: Path and query as the caller sent them.
        headers: Header lines of the caller, each ended by CR LF.
        body: Whole request body.
        remaining_us: Time left, microseconds.
        key_digest: Digest of the claimed key; empty for a ticket.
        ticket: The ticket; empty for a claimed key.
    """

    method: str
    url: bytes
    headers: bytes
    body: bytes
    remaining_us: int
    key_digest: bytes = b""
    ticket: str = ""
