"""Fields of a caller's request beside its method, path and body."""

import dataclasses

from kumquatwalk.config.team import Team
from kumquatwalk.http1.message import Header

__all__ = ["CallerRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Decoded headers of a request.

    Attributes:
        attempt_id: Identifier of this attempt; empty when missing.
        host: Host without its port; empty when routing does not depend on it.
        timeout_s: Time for which the caller waits, in seconds; None when not
            given.
        headers: Headers to forward to the target.
        team: Team whose key it has; None without one.
    """

    attempt_id: bytes
    host: str
    timeout_s: float | None
    headers: tuple[Header, ...]
    team: Team | None = None
