"""Call to a simulated target and the reply to it."""

import dataclasses
import urllib.parse

__all__ = ["TargetCall", "TargetReply"]

MAX_TAG_BYTES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """Call received by a target.

    Attributes:
        path: Path with its query.
        body: Request body.
        request_id: Value of ``Kumquat-Request-Id``.
        context: Value of ``Kumquat-Context``.
        key: Idempotency key or ticket; empty for none.
        timeout_s: Time limit of the run, in seconds; None for no limit.
    """

    path: str
    body: bytes
    request_id: str
    context: str
    key: str
    timeout_s: float | None

    @property
    def entry(self) -> str:
        """Name of the entry, the first segment of the path."""
        path = self.path.partition("?")[0]
        return path.lstrip("/").partition("/")[0]

    @property
    def size(self) -> int:
        """Padding size from the query, in characters; 0 by default."""
        query = urllib.parse.parse_qs(self.path.partition("?")[2])
        return int(query.get("size", ["0"])[0])

    @property
    def tag(self) -> bytes:
        """First line of the body, cut to 200 bytes; identifies the call."""
        return self.body.partition(b"\n")[0][:MAX_TAG_BYTES]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReply:
    """HTTP reply to a call.

    Attributes:
        status: HTTP status.
        body: Encoded JSON document.
        is_shed: Whether the call was shed without being run.
    """

    status: int
    body: bytes
    is_shed: bool = False
