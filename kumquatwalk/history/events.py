"""Events of a history."""

import dataclasses

__all__ = ["CallAnswered", "CallSent", "RunRecorded", "TargetLeft"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallSent:
    """A caller sent a request.

    Attributes:
        tag: Name of the sending, unique.
        request: Name of the request, the same for each repeat of it; the body
            and so the runs of its chain carry it.
        entry: Entry called.
        at: Time, in seconds.
        key: Key or ticket sent with it; a request sent again with another key
            may run once more.
    """

    tag: str
    request: str
    entry: str
    at: float
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswered:
    """A caller received an answer, or gave up.

    Attributes:
        tag: Tag of the sending.
        outcome: Outcome named by the answer; ``none`` when none came.
        code: Code named by the answer.
        is_whole: Whether the answer belongs to the request and is whole.
        at: Time, in seconds.
    """

    tag: str
    outcome: str
    code: str
    is_whole: bool
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecorded:
    """A target ran a call.

    Attributes:
        target: Name of the target.
        entry: Entry run.
        request: Name of the request that caused it.
        started_at: Time of the start, in seconds.
        outcome: How it ended, ``running`` if it did not.
    """

    target: str
    entry: str
    request: str
    started_at: float
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeft:
    """A target said that it is leaving.

    Attributes:
        target: Name of the target.
        at: Time, in seconds.
    """

    target: str
    at: float
