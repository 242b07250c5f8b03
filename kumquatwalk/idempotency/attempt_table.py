"""Attempts that a gate has taken, so that none runs twice."""

import collections
import dataclasses
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

from kumquatwalk.idempotency.answer_store import AnswerStore
from kumquatwalk.idempotency.begin_result import AnswerDropped
from kumquatwalk.idempotency.begin_result import Answered
from kumquatwalk.idempotency.begin_result import AttachTo
from kumquatwalk.idempotency.begin_result import BeginResult
from kumquatwalk.idempotency.begin_result import RunNow
from kumquatwalk.idempotency.begin_result import TableFull
from kumquatwalk.idempotency.begin_result import Tombstoned
from kumquatwalk.idempotency.begin_result import TooOld
from kumquatwalk.idempotency.pending_run import PendingRun

__all__ = [
    "ATTEMPT_MAX_AGE_S",
    "ATTEMPT_RETENTION_S",
    "AttemptTable",
    "IDEMPOTENT_MAX_AGE_S",
    "IDEMPOTENT_RETENTION_S",
]

ATTEMPT_MAX_AGE_S = 30.0
ATTEMPT_RETENTION_S = 60.0
IDEMPOTENT_MAX_AGE_S = 4.0
IDEMPOTENT_RETENTION_S = 8.0
AGE_ERROR_S = 0.5
MAX_ATTEMPTS = 30_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024

AnswerT = TypeVar("AnswerT")
_RUN_NOW = RunNow()


@dataclasses.dataclass(slots=True)
class _Attempt(Generic[AnswerT]):
    """State of one attempt; ``run`` is None once it has ended."""

    run: PendingRun[AnswerT] | None
    is_idempotent: bool
    ended_at: float | None = None
    is_refused: bool = False


class AttemptTable(Generic[AnswerT]):
    """Thread-safe table of the attempts of one gate.

    Every attempt is kept longer than the age at which a copy without a record
    is refused, so a missing record of a young frame proves that it never ran
    here. Frames sent before the table was last full are refused: a copy may
    have been refused without a record. The rule is that of a bounded history
    of requests in Birrell and Nelson, "Implementing Remote Procedure Calls"
    (TOCS 2(1), 1984).

    Args:
        measure: Returns the size of an answer in bytes.
        max_attempts: Attempts kept at once.
        max_answer_bytes: Bytes of answers kept at once; the oldest go first.

    Example:
        >>> table = AttemptTable(len)
        >>> table.begin(b"a" * 16, False, 0.0, 10.0)
        RunNow(claim_id='')
        >>> table.finish(b"a" * 16, b"paid", 10.1)
        >>> table.begin(b"a" * 16, False, 0.2, 10.2)
        Answered(answer=b'paid')
    """

    def __init__(
        self,
        measure: Callable[[AnswerT], int],
        max_attempts: int = MAX_ATTEMPTS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self._max_attempts = max_attempts
        self._attempts: dict[bytes, _Attempt[AnswerT]] = {}
        self._ended = collections.deque[tuple[float, bytes]]()
        self._ended_idempotent = collections.deque[tuple[float, bytes]]()
        self._answers = AnswerStore(measure, max_answer_bytes)
        self._full_at = float("-inf")
        self._lock = threading.Lock()

    def begin(
        self, attempt_id: bytes, is_idempotent: bool, age_s: float, now: float
    ) -> BeginResult:
        """Decide what to do with an attempt that has arrived.

        Args:
            attempt_id: Identifier of the attempt, the same in each copy.
            is_idempotent: Whether running it again is harmless.
            age_s: Time since the frame was sent, in seconds, by this gate's
                estimate, right within ``AGE_ERROR_S``.
            now: Present time, in seconds.

        Returns:
            ``RunNow`` when it is to be run, which obliges the caller to call
            ``finish`` or ``refuse``; otherwise what to do instead.
        """
        with self._lock:
            self._expire(now)
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                return self._describe(attempt_id, attempt)
            max_age_s = (
                IDEMPOTENT_MAX_AGE_S if is_idempotent else ATTEMPT_MAX_AGE_S
            )
            if age_s > max_age_s:
                return TooOld()
            if len(self._attempts) >= self._max_attempts:
                self._full_at = now
                return TableFull()
            attempt = _Attempt(PendingRun(), is_idempotent)
            if now - age_s - AGE_ERROR_S > self._full_at:
                self._attempts[attempt_id] = attempt
                return _RUN_NOW
            if now - age_s + AGE_ERROR_S > self._full_at:
                self._attempts[attempt_id] = attempt
                self._mark_ended(attempt_id, attempt, True, now)
            return TableFull()

    def finish(self, attempt_id: bytes, answer: AnswerT, now: float) -> None:
        """Record the end of a run.

        Args:
            attempt_id: Attempt for which ``begin`` returned ``RunNow``.
            answer: Answer, passed on to each copy.
            now: Present time, in seconds.
        """
        self._end(attempt_id, answer, False, now)

    def refuse(self, attempt_id: bytes, answer: AnswerT, now: float) -> None:
        """Record that the attempt was not run and never will be.

        Args:
            attempt_id: Attempt for which ``begin`` returned ``RunNow``.
            answer: Refusal, passed on to each copy.
            now: Present time, in seconds.
        """
        self._end(attempt_id, answer, True, now)

    def __len__(self) -> int:
        return len(self._attempts)

    def _end(
        self, attempt_id: bytes, answer: AnswerT, is_refused: bool, now: float
    ) -> None:
        with self._lock:
            attempt = self._attempts.get(attempt_id)
            if attempt is None or attempt.ended_at is not None:
                return
            run = attempt.run
            self._mark_ended(attempt_id, attempt, is_refused, now)
            self._answers.put(attempt_id, answer)
        if run is not None:
            run.resolve(answer)

    def _mark_ended(
        self,
        attempt_id: bytes,
        attempt: _Attempt[AnswerT],
        is_refused: bool,
        now: float,
    ) -> None:
        attempt.ended_at = now
        attempt.is_refused = is_refused
        attempt.run = None
        if attempt.is_idempotent:
            self._ended_idempotent.append((now, attempt_id))
        else:
            self._ended.append((now, attempt_id))

    def _expire(self, now: float) -> None:
        self._expire_from(self._ended, now - ATTEMPT_RETENTION_S)
        self._expire_from(self._ended_idempotent, now - IDEMPOTENT_RETENTION_S)

    def _expire_from(
        self, ended: collections.deque[tuple[float, bytes]], before: float
    ) -> None:
        while ended and ended[0][0] < before:
            _, attempt_id = ended.popleft()
            del self._attempts[attempt_id]
            self._answers.drop(attempt_id)

    def _describe(
        self, attempt_id: bytes, attempt: _Attempt[AnswerT]
    ) -> BeginResult:
        if attempt.run is not None:
            return AttachTo(attempt.run)
        answer = self._answers.get(attempt_id)
        if attempt.is_refused:
            return Tombstoned(answer)
        return AnswerDropped() if answer is None else Answered(answer)
