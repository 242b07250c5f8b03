"""Concurrency limit of a simulated target."""

import threading

__all__ = ["TargetSlots"]


class TargetSlots:
    """Concurrency limiter with a bounded queue.

    Args:
        slots: Maximum number of concurrent runs.
        queue: Maximum number of queued calls.
        queue_s: Timeout of queued calls, in seconds.
    """

    def __init__(self, slots: int, queue: int, queue_s: float):
        self._slots = slots
        self._queue = queue
        self._queue_s = queue_s
        self._running = 0
        self._waiting = 0
        self._condition = threading.Condition()

    @property
    def running(self) -> int:
        """Number of occupied slots."""
        return self._running

    def acquire(self) -> bool:
        """Acquire a slot, waiting in the queue if it is not full.

        Returns:
            Whether a slot was acquired.
        """
        with self._condition:
            if self._running >= self._slots and not self._wait_for_slot():
                return False
            self._running += 1
            return True

    def release(self) -> None:
        """Release a slot and wake one waiting thread."""
        with self._condition:
            self._running -= 1
            self._condition.notify()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no slot is occupied.

        Args:
            timeout_s: Timeout, in seconds.

        Returns:
            Whether no slot is occupied.
        """
        with self._condition:
            self._condition.wait_for(lambda: not self._running, timeout_s)
            return not self._running

    def _wait_for_slot(self) -> bool:
        if self._waiting >= self._queue:
            return False
        self._waiting += 1
        is_free = self._condition.wait_for(
            lambda: self._running < self._slots, self._queue_s
        )
        self._waiting -= 1
        return is_free
