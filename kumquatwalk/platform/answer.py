"""An answer of the platform's service."""

import dataclasses
from collections.abc import Mapping

__all__ = ["Answer"]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of the service.

    Attributes:
        status: HTTP status.
        headers: Headers; names are matched without regard to case.
        body: The whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
