"""A call to a stand-in target and the reply to it."""

import dataclasses
import urllib.parse

__all__ = ["TargetCall", "TargetReply"]

TAG_BYTES = 200


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One call as it reached the target.

    Attributes:
        path: Path with its query.
        body: Body.
        request_id: Value of ``Kumquat-Request-Id``.
        context: Value of ``Kumquat-Context``.
        key: Idempotency key or ticket.
        timeout_s: Time left for the run, in seconds; None for no bound.
    """

    path: str
    body: bytes
    request_id: str
    context: str
    key: str
    timeout_s: float | None

    @property
    def entry(self) -> str:
        """Name of the entry, the first part of the path."""
        path = self.path.partition("?")[0]
        return path.lstrip("/").partition("/")[0]

    @property
    def size(self) -> int:
        """Size of the answer's padding that the query asks for."""
        query = urllib.parse.parse_qs(self.path.partition("?")[2])
        return int(query.get("size", ["0"])[0])

    @property
    def tag(self) -> bytes:
        """First line of the body, which callers make unique."""
        return self.body.partition(b"\n")[0][:TAG_BYTES]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReply:
    """Reply to one call.

    Attributes:
        status: HTTP status.
        body: JSON text.
        is_shed: Whether the call was certainly not run.
    """

    status: int
    body: bytes
    is_shed: bool = False
