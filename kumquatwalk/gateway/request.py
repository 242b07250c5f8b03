"""An HTTP request as a node took it in."""

import dataclasses
from collections.abc import Mapping

__all__ = ["HttpRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole HTTP request.

    Attributes:
        method: HTTP method.
        url: Path and query as sent.
        headers: Values by title-cased name.
        body: Whole body.
        remote_host: IP number of the peer.
    """

    method: str
    url: bytes
    headers: Mapping[bytes, bytes]
    body: bytes
    remote_host: str = ""

    @property
    def path(self) -> bytes:
        """Path without the query."""
        return self.url.partition(b"?")[0]
