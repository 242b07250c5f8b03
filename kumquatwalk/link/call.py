"""A call from an entry node to the node of the chosen target."""

import dataclasses

__all__ = ["Call"]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One attempt of a call.

    Attributes:
        attempt_id: 16 random bytes; a resend of the same attempt keeps them.
        request_id: 16 bytes that name the whole request down the chain.
        entry: Name of the catalogue entry.
        method: HTTP method.
        url: Path and query as the caller sent them.
        headers: Header lines, each ended by CR LF, for the target.
        body: Whole request body.
        priority: 0 to 1023, lower is more important.
        depth: Calls between the outside caller and this one.
        tokens: Retry tokens that this attempt may spend further down.
        idempotent: Whether running the call again is harmless.
        protected: Whether the root request is run at most once.
        remaining_us: Time left for the call, microseconds.
        sent_at_us: The gate's own clock at the time of sending, as estimated
            by the sender; never later than the true time.
        crash_marks: Marks of the crashes that earlier attempts were charged
            with.
    """

    attempt_id: bytes
    request_id: bytes
    entry: str
    method: str
    url: bytes
    headers: bytes
    body: bytes
    priority: int
    depth: int
    tokens: int
    idempotent: bool
    protected: bool
    remaining_us: int
    sent_at_us: int = 0
    crash_marks: bytes = b""
