"""Delay of the event loop, known from a periodic check."""

__all__ = ["LoopDelay"]


class LoopDelay:
    """Tells how late the event loop handles what happens.

    A process that is not scheduled for a time learns of a signal only
    afterwards.

    Args:
        interval_s: Interval of the check, in seconds.
    """

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._last_at: float | None = None
        self._last_pause_s = 0.0

    def record(self, now: float) -> None:
        """Record that the check runs.

        Args:
            now: Current time, in seconds.
        """
        if self._last_at is not None:
            self._last_pause_s = now - self._last_at
        self._last_at = now

    def estimate(self, now: float) -> float:
        """Return how late an event may be that is handled now, in seconds.

        The check may have run just before, after the same delay; so the pause
        before it counts too. A delay of less than the interval may stay hidden.

        Args:
            now: Current time, in seconds.
        """
        if self._last_at is None:
            return 0.0
        pause_s = max(now - self._last_at, self._last_pause_s)
        return max(0.0, pause_s - self._interval_s)
