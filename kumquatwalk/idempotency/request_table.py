"""Table of the at-most-once requests of an entry node."""

import collections
import dataclasses
import enum
import secrets
from collections.abc import Callable
from typing import Generic, TypeVar

from kumquatwalk.idempotency.answer_cache import AnswerCache
from kumquatwalk.idempotency.begin_result import Answered
from kumquatwalk.idempotency.begin_result import AnswerEvicted
from kumquatwalk.idempotency.begin_result import BeginResult
from kumquatwalk.idempotency.begin_result import InProgress
from kumquatwalk.idempotency.begin_result import KeyReused
from kumquatwalk.idempotency.begin_result import RecordExpired
from kumquatwalk.idempotency.begin_result import RunNow
from kumquatwalk.idempotency.begin_result import TableFull
from kumquatwalk.idempotency.pending_run import PendingRun
from kumquatwalk.idempotency.ticket import TICKET_TTL_S
from kumquatwalk.outcome import Outcome

__all__ = ["REQUEST_RETENTION_S", "RequestState", "RequestTable"]

REQUEST_RETENTION_S = 600.0
CLAIM_ID_BYTES = 16
MAX_REQUESTS = 20_000
MAX_ANSWER_BYTES = 4 * 1024 * 1024

AnswerT = TypeVar("AnswerT")


class RequestState(enum.Enum):
    """State of a recorded request; an unrecorded request is new."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class _Request(Generic[AnswerT]):
    """Record of a request.

    ``ended_at`` is meaningful only once the state is not ``RUNNING``.
    """

    fingerprint: bytes
    issued_at: float | None
    claim_id: str
    run: PendingRun[AnswerT]
    state: RequestState = RequestState.RUNNING
    ended_at: float = 0.0


class RequestTable(Generic[AnswerT]):
    """Table of the at-most-once requests that one entry node owns.

    Requests with a ticket and requests with a claimed key share the table.
    When it is full, the oldest ended request is evicted, and tickets issued no
    later than that request's ticket are no longer run. This bounds the memory
    and keeps an evicted request from running again.

    Args:
        measure: Returns the size of an answer in bytes.
        max_requests: Max number of requests recorded at once.
        max_answer_bytes: Max total size of the cached answers, in bytes; the
            oldest answers are evicted first.

    Example:
        >>> table = RequestTable(len)
        >>> table.begin("k", b"pay 7", None, 1.0)  # doctest: +ELLIPSIS
        RunNow(claim_id='...')
        >>> table.finish("k", b"paid", Outcome.DONE, 1.2)
        >>> table.begin("k", b"pay 7", None, 2.0)
        Answered(answer=b'paid')
        >>> table.begin("k", b"pay 8", None, 2.0)
        KeyReused()
    """

    def __init__(
        self,
        measure: Callable[[AnswerT], int],
        max_requests: int = MAX_REQUESTS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self._max_requests = max_requests
        self._requests: dict[str, _Request[AnswerT]] = {}
        self._ended = collections.OrderedDict[str, None]()
        self._answers = AnswerCache(measure, max_answer_bytes)
        self._max_evicted_issued_at = float("-inf")

    def begin(
        self,
        key: str,
        fingerprint: bytes,
        issued_at: float | None,
        now: float,
    ) -> BeginResult:
        """Decide how to handle a request that has arrived.

        A new request is recorded as running.

        Args:
            key: Nonce of the ticket in hexadecimal, or store key of the claim.
            fingerprint: Digest of the request.
            issued_at: Time at which this node issued the ticket, in seconds of
                its own clock; None for an idempotency key, which must be
                claimed before the run.
            now: Current time in seconds.

        Returns:
            ``RunNow`` if the request is to be run; the caller must then call
            ``finish`` or ``release``. Any other result says how to answer
            without a run.
        """
        self._evict_expired(now)
        request = self._requests.get(key)
        if request is not None:
            return self._resolve_repeat(key, request, fingerprint)
        if issued_at is not None and self._may_be_evicted(issued_at, now):
            return RecordExpired()
        if not self._ensure_capacity():
            return TableFull()
        claim_id = secrets.token_hex(CLAIM_ID_BYTES)
        self._requests[key] = _Request(
            fingerprint, issued_at, claim_id, PendingRun()
        )
        return RunNow(claim_id)

    def resume(self, key: str, fingerprint: bytes, now: float) -> BeginResult:
        """Decide how to handle a request that another node forwarded here.

        Args:
            key: Store key of the claim, which names this node as the owner.
            fingerprint: Digest of the request.
            now: Current time in seconds.

        Returns:
            As ``begin``, except that a request without a record is never run:
            its record was evicted, so its outcome is unknown.
        """
        self._evict_expired(now)
        request = self._requests.get(key)
        if request is None:
            return RecordExpired()
        return self._resolve_repeat(key, request, fingerprint)

    def finish(
        self,
        key: str,
        answer: AnswerT,
        outcome: Outcome,
        now: float,
        claim_id: str = "",
    ) -> None:
        """Record the end of a run.

        Args:
            key: Key for which ``begin`` returned ``RunNow``.
            answer: Answer of the run, returned to all repeats that wait. It is
                cached for later repeats unless the outcome is ``NOT_RUN``.
            outcome: Outcome of the run; after ``NOT_RUN`` a repeat may run.
            now: Current time in seconds.
            claim_id: Identifier from ``RunNow``. A record with another
                identifier is not changed; an empty one matches any record.
        """
        request = self._find_running(key, claim_id)
        if request is None:
            return
        request.state = _STATE_BY_OUTCOME[outcome]
        request.ended_at = now
        self._ended[key] = None
        if outcome is not Outcome.NOT_RUN:
            self._answers.put(key, answer)
        run = request.run
        run.resolve(answer)

    def release(self, key: str, answer: AnswerT, claim_id: str = "") -> None:
        """Remove the record of a request that another node owns.

        Args:
            key: Key for which ``begin`` returned ``RunNow``.
            answer: Answer of the owner, returned to the repeats that wait.
            claim_id: As for ``finish``.
        """
        request = self._find_running(key, claim_id)
        if request is None:
            return
        del self._requests[key]
        request.run.resolve(answer)

    def __len__(self) -> int:
        return len(self._requests)

    def _find_running(
        self, key: str, claim_id: str
    ) -> _Request[AnswerT] | None:
        request = self._requests.get(key)
        if request is None or request.state is not RequestState.RUNNING:
            return None
        if claim_id and request.claim_id != claim_id:
            return None
        return request

    def _resolve_repeat(
        self, key: str, request: _Request[AnswerT], fingerprint: bytes
    ) -> BeginResult:
        if request.fingerprint != fingerprint:
            return KeyReused()
        if request.state is RequestState.RUNNING:
            return InProgress(request.run)
        if request.state is RequestState.NOT_RUN:
            request.state = RequestState.RUNNING
            request.run = PendingRun()
            del self._ended[key]
            return RunNow(request.claim_id)
        answer = self._answers.get(key)
        return AnswerEvicted() if answer is None else Answered(answer)

    def _may_be_evicted(self, issued_at: float, now: float) -> bool:
        return (
            issued_at <= self._max_evicted_issued_at
            or now - issued_at > TICKET_TTL_S
        )

    def _ensure_capacity(self) -> bool:
        if len(self._requests) < self._max_requests:
            return True
        if not self._ended:
            return False
        self._evict(next(iter(self._ended)))
        return True

    def _evict_expired(self, now: float) -> None:
        while self._ended:
            key = next(iter(self._ended))
            if now - self._requests[key].ended_at <= REQUEST_RETENTION_S:
                return
            self._evict(key)

    def _evict(self, key: str) -> None:
        del self._ended[key]
        self._answers.discard(key)
        issued_at = self._requests.pop(key).issued_at
        if issued_at is not None:
            self._max_evicted_issued_at = max(
                self._max_evicted_issued_at, issued_at
            )


_STATE_BY_OUTCOME = {
    Outcome.DONE: RequestState.DONE,
    Outcome.FAILED: RequestState.DONE,
    Outcome.NOT_RUN: RequestState.NOT_RUN,
    Outcome.UNKNOWN: RequestState.UNKNOWN,
}
