"""Verdicts of the admission state on single calls."""

import dataclasses

__all__ = ["Admitted", "Notice", "Refused"]


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call may run now.

    Attributes:
        call_id: The call.
        waited_s: Time that the call waited in the queue.
    """

    call_id: int | str
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call was not run and will not be run by this gate.

    Attributes:
        call_id: The call.
        code: Why it was refused.
    """

    call_id: int | str
    code: str


Notice = Admitted | Refused
