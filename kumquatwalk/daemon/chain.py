"""Context that a request inherits from its chain of calls."""

import dataclasses

from kumquatwalk.retry.call_tokens import CallTokens

__all__ = ["ChainContext"]


@dataclasses.dataclass(frozen=True, slots=True)
class ChainContext:
    """Bounds that a caller's request sets for all calls of its chain.

    Requests have a context only on the native interface
    (``kumquatwalk.native``). On the operators' platform
    (``kumquatwalk.platform``) a call does not identify the run that makes it.

    Attributes:
        depth: Number of calls above this one; 0 for a caller's request.
        rank: Priority of the whole request under overload; 0 is the highest.
        deadline: Time by which the request must have ended, in seconds.
        tokens: The call's share of the request's retry tokens.
        is_protected: Whether the caller's request runs at most once, so
            that non-idempotent calls are allowed below it.
    """

    depth: int
    rank: int
    deadline: float
    tokens: CallTokens
    is_protected: bool
