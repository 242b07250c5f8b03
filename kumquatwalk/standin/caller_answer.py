"""What a stand-in caller received."""

import dataclasses

__all__ = ["CallerAnswer"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer to one call, as the caller saw it.

    Attributes:
        status: HTTP status; 0 when no answer came.
        outcome: Value of ``Kumquat-Outcome``; ``none`` when no answer came.
        code: Value of ``Kumquat-Code``, or the name of the transport's error.
        body: Body received.
        elapsed_s: Time from sending to the whole answer, in seconds.
        is_whole: Whether an answer of a target holds the echo of this call's
            body, all its padding and all nested answers; True when there is
            none to check.
    """

    status: int
    outcome: str
    code: str
    body: bytes
    elapsed_s: float
    is_whole: bool = True
