"""At most one run of a non-idempotent call."""

from kumquatwalk.idempotency.attempt_table import AttemptTable
from kumquatwalk.idempotency.begin_result import AnswerDropped
from kumquatwalk.idempotency.begin_result import Answered
from kumquatwalk.idempotency.begin_result import AttachTo
from kumquatwalk.idempotency.begin_result import BeginResult
from kumquatwalk.idempotency.begin_result import KeyReused
from kumquatwalk.idempotency.begin_result import RunNow
from kumquatwalk.idempotency.begin_result import TableFull
from kumquatwalk.idempotency.begin_result import Tombstoned
from kumquatwalk.idempotency.begin_result import TooOld
from kumquatwalk.idempotency.pending_run import PendingRun

__all__ = [
    "AnswerDropped",
    "Answered",
    "AttachTo",
    "AttemptTable",
    "BeginResult",
    "KeyReused",
    "PendingRun",
    "RunNow",
    "TableFull",
    "Tombstoned",
    "TooOld",
]
