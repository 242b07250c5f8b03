"""Whether a response belongs to a request, and how to verify one."""

import dataclasses
import enum
from collections.abc import Callable

from kumquatwalk.http1.message import HttpResponse

__all__ = ["ResponseMatch", "Verification", "match_any"]


class ResponseMatch(enum.Enum):
    """Which request a response names.

    ``OWN`` is the request of the exchange and ``OTHER`` another one. A response
    that is ``UNNAMED`` may be the awaited one, or one that the server sent
    again, late, after an earlier exchange on the connection.
    """

    OWN = "own"
    UNNAMED = "unnamed"
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Verification:
    """Second request that shows whether an unnamed response was awaited.

    A server answers the requests of a connection in order (RFC 9112, section
    9.3). So the unnamed response was another one if a response that names the
    request precedes that to the second request.

    Attributes:
        request: The second request, encoded. It must be safe to repeat.
        is_required: Returns whether an unnamed response must be verified.
        is_answer: Returns whether a response surely answers the second request.
    """

    request: bytes
    is_required: Callable[[HttpResponse], bool]
    is_answer: Callable[[HttpResponse], bool]


def match_any(_response: HttpResponse) -> ResponseMatch:
    """Return that a response belongs to the request, whatever it is."""
    return ResponseMatch.OWN
