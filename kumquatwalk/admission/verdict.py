"""Answer of a gate to one call."""

import dataclasses

__all__ = ["AdmissionVerdict"]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionVerdict:
    """Whether a call may run.

    Attributes:
        is_admitted: Whether the call may run; it must then be released.
        code: Why it was refused; empty when it was admitted.
        waited_s: Time that the call waited in the queue.
    """

    is_admitted: bool
    code: str = ""
    waited_s: float = 0.0
