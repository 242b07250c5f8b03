"""A run in progress, which repeats of the same call may wait for."""

import threading
from typing import Generic, TypeVar

__all__ = ["PendingRun"]

AnswerT = TypeVar("AnswerT")


class PendingRun(Generic[AnswerT]):
    """One run whose answer several callers may receive.

    The table that made the run resolves it, once. The event is made only when
    a second caller waits, so a run that nobody repeats costs no event.
    """

    __slots__ = ("_answer", "_event", "_is_resolved", "_lock")

    def __init__(self):
        self._answer: AnswerT | None = None
        self._event: threading.Event | None = None
        self._is_resolved = False
        self._lock = threading.Lock()

    def resolve(self, answer: AnswerT) -> None:
        """Set the answer and wake everyone who waits.

        Args:
            answer: Answer of the run; the first one given is kept.
        """
        with self._lock:
            if self._is_resolved:
                return
            self._answer = answer
            self._is_resolved = True
            event = self._event
        if event is not None:
            event.set()

    def wait(self, timeout_s: float) -> AnswerT | None:
        """Wait for the answer.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            The answer; None when it did not come in time.
        """
        with self._lock:
            if self._is_resolved:
                return self._answer
            if self._event is None:
                self._event = threading.Event()
            event = self._event
        event.wait(timeout_s)
        return self._answer
