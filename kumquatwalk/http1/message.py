"""HTTP requests and responses with their complete bodies."""

import dataclasses
from collections.abc import Iterable

__all__ = [
    "Header",
    "HttpRequest",
    "HttpResponse",
    "RequestProgress",
    "find_header",
    "index_headers",
    "list_values",
]

Header = tuple[bytes, bytes]


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """How far a request has come; changes while it is handled.

    Attributes:
        is_passed_on: Whether it has been passed on to a target.
        request_id: Identifier with which it was passed on; empty until then.
        taking_s: Time that the client is expected to need for the answer once
            it is made, in seconds; 0 if not known.
        deferred_at: Time at which it was received, in seconds, if it was then
            held back for the answers before it; None otherwise.
    """

    is_passed_on: bool = False
    request_id: str = ""
    taking_s: float = 0.0
    deferred_at: float | None = None

    def mark_passed_on(self, request_id: bytes) -> None:
        """Note that the request is being passed on to a target.

        Args:
            request_id: Identifier under which the target gets it.
        """
        self.is_passed_on = True
        self.request_id = request_id.decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """Request that has been received completely.

    Attributes:
        method: HTTP method.
        url: Path and query string as sent by the caller.
        headers: Header lines in order, with names as sent by the caller.
        body: Complete body.
        is_keep_alive: Whether the connection persists after the response.
        received_at: Time at which the first byte was read, in seconds.
        peer_host: IP address of the caller; empty if unknown.
        head_bytes: Memory of its head, in bytes; not part of comparisons.
        progress: How far the request has come; not part of comparisons.
    """

    method: bytes
    url: bytes
    headers: tuple[Header, ...]
    body: bytes
    is_keep_alive: bool
    received_at: float
    peer_host: str = ""
    head_bytes: int = dataclasses.field(default=0, compare=False, repr=False)
    progress: RequestProgress = dataclasses.field(
        default_factory=RequestProgress, compare=False, repr=False
    )

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name, or None.

        Args:
            name: Header name in lower case.
        """
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response.

    Attributes:
        status: HTTP status code.
        headers: Header lines in order.
        body: Complete body.
        closes_connection: Whether the connection closes after the response.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    closes_connection: bool = False

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name, or None.

        Args:
            name: Header name in lower case.
        """
        return find_header(self.headers, name)


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with a name, or None.

    Args:
        headers: Header lines.
        name: Header name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def index_headers(headers: Iterable[Header]) -> dict[bytes, bytes]:
    """Return the first value of each header by its name in lower case.

    Args:
        headers: Header lines.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        values.setdefault(name.lower(), value)
    return values


def list_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return the values of all headers with a name, in order.

    Args:
        headers: Header lines.
        name: Header name in lower case.
    """
    return [value for key, value in headers if key.lower() == name]
