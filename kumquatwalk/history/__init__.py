"""Event history of a concurrent test run, and checks of its invariants."""

from kumquatwalk.history.check import Violation
from kumquatwalk.history.check import check_responses_valid
from kumquatwalk.history.check import check_at_most_once
from kumquatwalk.history.check import check_attempts_bounded
from kumquatwalk.history.check import check_no_runs_after_shutdown
from kumquatwalk.history.check import check_not_run
from kumquatwalk.history.events import CallCompleted
from kumquatwalk.history.events import CallSent
from kumquatwalk.history.events import RunRecorded
from kumquatwalk.history.events import TargetShutdown
from kumquatwalk.history.history import History

__all__ = [
    "CallCompleted",
    "CallSent",
    "History",
    "RunRecorded",
    "TargetShutdown",
    "Violation",
    "check_responses_valid",
    "check_at_most_once",
    "check_attempts_bounded",
    "check_no_runs_after_shutdown",
    "check_not_run",
]
