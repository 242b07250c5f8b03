"""A call that this node is to make on behalf of a caller or of a run."""

import dataclasses

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.retry.share import CallTokens

__all__ = ["CallIntent"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallIntent:
    """A call with everything that the entry side needs to make it.

    Attributes:
        entry: Catalogue entry called.
        method: HTTP method.
        url: Path and query as sent.
        headers: Header lines for the target, each ended by CR LF.
        body: Whole body.
        request_id: 16 bytes that name the whole request.
        priority: 0 to 1023, lower is more important.
        depth: 0 for an outside request.
        deadline: Monotonic time by which the answer is due.
        tokens: The call's share of the request's retry tokens.
        protected: Whether the root request is run at most once.
    """

    entry: Entry
    method: str
    url: bytes
    headers: bytes
    body: bytes
    request_id: bytes
    priority: int
    depth: int
    deadline: float
    tokens: CallTokens
    protected: bool
