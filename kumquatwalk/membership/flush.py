"""Times at which queued items are sent without waiting for a probe."""

import math

__all__ = ["FlushSchedule"]

FLUSH_GAP_S = 0.05


class FlushSchedule:
    """Times at which queued items are sent without waiting for a probe.

    Requests that fall within ``FLUSH_GAP_S`` of one another are joined.
    """

    def __init__(self):
        self._slots: set[int] = set()

    @property
    def due_at(self) -> float:
        """Return the time of the next flush, monotonic seconds."""
        return min(self._slots) * FLUSH_GAP_S if self._slots else math.inf

    def request(self, at: float) -> None:
        """Ask for a flush.

        Args:
            at: Earliest time, monotonic seconds.
        """
        self._slots.add(math.ceil(at / FLUSH_GAP_S))

    def pop(self, now: float) -> bool:
        """Remove the requests that are due.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Whether there were any.
        """
        due = {slot for slot in self._slots if slot * FLUSH_GAP_S <= now}
        self._slots -= due
        return bool(due)
