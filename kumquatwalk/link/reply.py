"""Answer of a gate to a call."""

import dataclasses

from kumquatwalk.outcome import Outcome

__all__ = ["LEVEL_MAX", "Reply", "measure_reply"]

LEVEL_MAX = 1023


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer to one attempt.

    Attributes:
        outcome: What became of the attempt.
        code: Code of the refusal or failure; empty for an answer.
        status: HTTP status.
        headers: Header lines of the target's answer, each ended by CR LF.
        body: Whole body.
        tokens: Retry tokens handed back.
        gate_level: Admission level of the gate, -1 to 1023.
        entry_level: Lowest admission level of the gate and of the entries that
            the called entry calls in turn.
        queue_us: Time in the admission queue, microseconds.
        run_us: Time at the target, microseconds.
        crash_mark: Mark of the crash that this attempt is charged with.
    """

    outcome: Outcome
    code: str
    status: int
    headers: bytes = b""
    body: bytes = b""
    tokens: int = 0
    gate_level: int = LEVEL_MAX
    entry_level: int = LEVEL_MAX
    queue_us: int = 0
    run_us: int = 0
    crash_mark: bytes = b""


def measure_reply(reply: Reply) -> int:
    """Return the bytes that a kept reply holds."""
    return len(reply.headers) + len(reply.body)
