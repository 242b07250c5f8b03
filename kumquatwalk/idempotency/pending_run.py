"""Run in progress that repeats of the same request can await."""

import asyncio
from typing import Generic, TypeVar

from kumquatwalk.event_loop import limit_time

__all__ = ["PendingRun"]

AnswerT = TypeVar("AnswerT")


class PendingRun(Generic[AnswerT]):
    """Run in progress whose answer several callers can await.

    The table that created the run resolves it. The event is created only when
    a repeat waits, so that a run without repeats does not pay for one.
    """

    __slots__ = ("_answer", "_event", "_is_resolved")

    def __init__(self):
        self._answer: AnswerT | None = None
        self._event: asyncio.Event | None = None
        self._is_resolved = False

    def resolve(self, answer: AnswerT) -> None:
        """Set the answer and wake all waiting tasks.

        Args:
            answer: Answer of the run. Only the first call has an effect.
        """
        if self._is_resolved:
            return
        self._answer = answer
        self._is_resolved = True
        if self._event is not None:
            self._event.set()

    async def wait(self, timeout_s: float) -> AnswerT | None:
        """Wait for the answer.

        Args:
            timeout_s: Max time to wait, in seconds.

        Returns:
            The answer; None if the wait timed out, after which the caller must
            report the outcome as unknown.
        """
        if not self._is_resolved:
            if self._event is None:
                self._event = asyncio.Event()
            try:
                async with limit_time(timeout_s):
                    await self._event.wait()
            except TimeoutError:
                return None
        return self._answer
