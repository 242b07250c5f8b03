"""Ends of daemon processes that a soak has seen."""

import dataclasses
import signal

from kumquatwalk.history import Violation

__all__ = ["ProcessEnd", "judge_end"]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessEnd:
    """End of a daemon process.

    Attributes:
        node: Node of the daemon.
        pid: Its process.
        started_at: Time of its start, in seconds.
        seen_at: Time at which its end was seen, in seconds.
        status: Its exit status; the number of a signal, negative, if that ended
            it.
        is_stopped: Whether it got SIGTERM.
        is_killed: Whether it got SIGKILL of the soak, also after the grace
            period of a stop.
    """

    node: str
    pid: int
    started_at: float
    seen_at: float
    status: int
    is_stopped: bool
    is_killed: bool


def judge_end(end: ProcessEnd) -> Violation | None:
    """Return what an end breaks; None if it was asked for.

    A process that was stopped ends with status 0, or by the SIGKILL that was
    sent to it. One that was neither stopped nor killed does not end.

    Args:
        end: The end.
    """
    if end.is_killed and end.status == -signal.SIGKILL:
        return None
    if end.is_stopped and end.status == 0:
        return None
    rule = "stopped_with_status" if end.is_stopped else "ended_by_itself"
    after_s = end.seen_at - end.started_at
    detail = f"status {end.status}, {after_s:.2f} s after its start"
    return Violation(rule, end.node, detail)
