"""Answer received by a simulated caller."""

import dataclasses

__all__ = ["CallerAnswer"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer to one request, as received by the caller.

    Attributes:
        status: HTTP status; 0 if no answer was received.
        outcome: Value of ``Kumquat-Outcome``; ``none`` if no answer was
            received.
        code: Value of ``Kumquat-Code``, or the name of the transport error.
        body: Body of the answer.
        elapsed_s: Time from sending the request to the end of the answer, in
            seconds.
        is_whole: Whether the answer of a target holds the digest of this
            request's body, its full padding and all nested answers; True if
            the answer is not from a target.
    """

    status: int
    outcome: str
    code: str
    body: bytes
    elapsed_s: float
    is_whole: bool = True
