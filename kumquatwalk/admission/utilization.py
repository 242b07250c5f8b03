"""Share of the concurrency limit in use over a window."""

__all__ = ["Utilization"]


class Utilization:
    """Mean of calls running over the limit, weighted by time.

    Args:
        now: Present time.
    """

    def __init__(self, now: float):
        self._at = now
        self._used_s = 0.0
        self._limit_s = 0.0

    def note(self, in_flight: int, limit: int, now: float) -> None:
        """Account for the time since the last call of this method.

        Args:
            in_flight: Calls that ran during that time.
            limit: Limit during that time.
            now: Present time.
        """
        elapsed_s = now - self._at
        if elapsed_s > 0.0:
            self._used_s += in_flight * elapsed_s
            self._limit_s += limit * elapsed_s
            self._at = now

    def take(self) -> float:
        """Return the utilization of the window and begin a new one.

        Returns:
            Share of the limit used, 0 to 1.
        """
        share = self._used_s / self._limit_s if self._limit_s else 0.0
        self._used_s = 0.0
        self._limit_s = 0.0
        return min(1.0, share)
