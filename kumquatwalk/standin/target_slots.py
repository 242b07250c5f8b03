"""Slots of a stand-in target."""

import threading

__all__ = ["TargetSlots"]


class TargetSlots:
    """Bounded number of runs at once, with a short queue.

    Args:
        slots: Runs at once.
        queue: Calls that may wait.
        queue_s: Longest wait, in seconds.
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
        """Runs in progress."""
        return self._running

    def acquire(self) -> bool:
        """Take a slot, waiting for a short time if there is room to wait.

        Returns:
            Whether a slot was taken.
        """
        with self._condition:
            if self._running >= self._slots and not self._wait_for_slot():
                return False
            self._running += 1
            return True

    def release(self) -> None:
        """Give a slot back."""
        with self._condition:
            self._running -= 1
            self._condition.notify()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until nothing runs.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether nothing runs.
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
