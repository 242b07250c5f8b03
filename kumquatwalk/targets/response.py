"""Classification of a target's response by its headers."""

import dataclasses

from kumquatwalk.http1.response_match import ResponseMatch
from kumquatwalk.targets.rate_limit import NO_RATE_LIMIT
from kumquatwalk.targets.rate_limit import RateLimit

__all__ = ["ResponseCheck"]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseCheck:
    """Result of checking a target's response against the request.

    Attributes:
        match: Whether the response names the request, another one or none.
        is_complete: Whether the response is complete and unchanged.
        was_not_run: Whether the target reports that it did not run the request.
        is_replaced: Whether another target now serves at the address.
        is_leaving: Whether the target says that it leaves.
        rate_limit: What the response says of the rate that the target takes.
        slowness: Time that work takes at the target now over the normal time;
            None if the response does not say it.
    """

    match: ResponseMatch
    is_complete: bool
    was_not_run: bool
    is_replaced: bool
    is_leaving: bool = False
    rate_limit: RateLimit = NO_RATE_LIMIT
    slowness: float | None = None
