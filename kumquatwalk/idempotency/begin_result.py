"""Results of ``RequestTable.begin`` and ``RequestTable.resume``."""

import dataclasses
from typing import Generic, TypeVar

from kumquatwalk.idempotency.pending_run import PendingRun

__all__ = [
    "AnswerEvicted",
    "Answered",
    "BeginResult",
    "InProgress",
    "KeyReused",
    "RecordExpired",
    "RunNow",
    "TableFull",
]

AnswerT = TypeVar("AnswerT")


@dataclasses.dataclass(frozen=True, slots=True)
class RunNow:
    """The request has not run: run it, then report the end to the table.

    Attributes:
        claim_id: Random identifier of the record of the request. If the record
            lets the request run again, the identifier is the same.
    """

    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress(Generic[AnswerT]):
    """The request is running: wait for the answer of that run.

    Attributes:
        run: The run in progress.
    """

    run: PendingRun[AnswerT]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered(Generic[AnswerT]):
    """The request has ended: return the cached answer of its only run.

    Attributes:
        answer: The cached answer.
    """

    answer: AnswerT


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEvicted:
    """The request has ended and its answer was evicted: it must not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordExpired:
    """The request may have run but its record is gone: outcome unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableFull:
    """The table has no room for a record: the request was not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a different request: this one was not run."""


BeginResult = (
    RunNow
    | InProgress
    | Answered
    | AnswerEvicted
    | RecordExpired
    | TableFull
    | KeyReused
)
