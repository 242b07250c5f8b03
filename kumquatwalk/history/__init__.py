"""History of a concurrent run, and checkers of what must hold over it."""

from kumquatwalk.history.check import Violation
from kumquatwalk.history.check import check_answers_whole
from kumquatwalk.history.check import check_at_most_once
from kumquatwalk.history.check import check_attempts_bounded
from kumquatwalk.history.check import check_no_work_after_leaving
from kumquatwalk.history.check import check_not_run
from kumquatwalk.history.events import CallAnswered
from kumquatwalk.history.events import CallSent
from kumquatwalk.history.events import RunRecorded
from kumquatwalk.history.events import TargetLeft
from kumquatwalk.history.history import History

__all__ = [
    "CallAnswered",
    "CallSent",
    "History",
    "RunRecorded",
    "TargetLeft",
    "Violation",
    "check_answers_whole",
    "check_at_most_once",
    "check_attempts_bounded",
    "check_no_work_after_leaving",
    "check_not_run",
]
