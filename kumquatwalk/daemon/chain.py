"""What a request has from the chain of calls that it belongs to."""

import dataclasses

from kumquatwalk.retry.share import CallTokens

__all__ = ["ChainContext"]


@dataclasses.dataclass(frozen=True, slots=True)
class ChainContext:
    """Bounds that one customer request sets for all calls of its chain.

    The project's own interface tells which run a call belongs to. On the
    operators' platform it is inferred from the deadline, as a hint.

    Attributes:
        depth: 0 for a request from outside.
        rank: Order under pressure of the whole request.
        deadline: Time by which the request must have ended.
        tokens: The call's share of the request's retry tokens; None where
            only budgets bound what is sent again.
        is_protected: Whether the request at the top runs at most once, so
            that calls that are not idempotent may be made below it.
        parent_route: Route of the run that makes the call; empty for a request
            from outside.
    """

    depth: int
    rank: int
    deadline: float
    tokens: CallTokens | None
    is_protected: bool
    parent_route: str = ""
