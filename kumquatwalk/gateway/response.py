"""An HTTP answer as a node sends it."""

import dataclasses

__all__ = ["HttpResponse"]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole HTTP answer.

    Attributes:
        status: HTTP status.
        headers: Header lines, each ended by CR LF; without the length of the
            body and without connection control.
        body: Whole body.
    """

    status: int
    headers: bytes = b""
    body: bytes = b""
