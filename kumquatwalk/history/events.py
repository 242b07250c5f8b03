"""Types of the events in a history."""

import dataclasses

__all__ = ["CallCompleted", "CallSent", "RunRecorded", "TargetShutdown"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallSent:
    """A caller sent a request.

    Attributes:
        tag: Unique identifier of this sending of the request.
        request: Name of the request, the same for each retry. It is part of the
            body, so the runs of its call chain carry it too.
        entry: Entry called.
        at: Time, in seconds.
        key: Idempotency key or ticket sent with the request; a request resent
            with another key may run once more.
    """

    tag: str
    request: str
    entry: str
    at: float
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallCompleted:
    """A caller received a response or gave up.

    Attributes:
        tag: Tag of the `CallSent` event.
        outcome: Outcome stated in the response; ``none`` without a response.
        code: Code stated in the response.
        is_valid: Whether the response is complete and belongs to the request.
        at: Time, in seconds.
    """

    tag: str
    outcome: str
    code: str
    is_valid: bool
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecorded:
    """A target ran a call.

    Attributes:
        target: Name of the target.
        entry: Entry that ran.
        request: Name of the request that caused it.
        started_at: Time of the start, in seconds.
        outcome: Outcome of the run; ``running`` if it had not ended.
    """

    target: str
    entry: str
    request: str
    started_at: float
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetShutdown:
    """A target announced that it is shutting down.

    Attributes:
        target: Name of the target.
        at: Time, in seconds.
    """

    target: str
    at: float
