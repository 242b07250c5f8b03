"""Pauses of the process, in which it could not act on a signal."""

import math

__all__ = ["PauseLog"]

# Longest time between two records that is no pause, in seconds; the margins of
# a stop allow for it.
GAP_MAX_S = 0.25
# Time before the present up to which pauses that follow each other count, in
# seconds.
SERIES_MAX_S = 2.0


class PauseLog:
    """Latest pause of the process, as told by a regular record of its time.

    A process that is stopped or gets no processor acts on a signal only when it
    runs again, in its first turns. Pauses that follow each other at once count
    as one.

    Args:
        now: Current time, in seconds.
    """

    def __init__(self, now: float):
        self._seen_at = now
        self._began_at = -math.inf
        self._last_began_at = -math.inf
        self._ended_at = -math.inf

    @property
    def has_pause(self) -> bool:
        """Whether signals of a pause may still be handled."""
        return self._ended_at > -math.inf

    def record(self, now: float) -> None:
        """Note that the process runs.

        Args:
            now: Current time, in seconds; less than ``GAP_MAX_S`` after the
                record before, unless there was a pause.
        """
        if now - self._seen_at > GAP_MAX_S:
            self._last_began_at = self._seen_at
            if self._seen_at - self._ended_at > GAP_MAX_S:
                self._began_at = self._seen_at
            self._ended_at = now
        self._seen_at = now

    def end_pause(self) -> None:
        """Note that all signals that came in the pause have been handled."""
        self._ended_at = -math.inf

    def find_earliest(self, now: float) -> float:
        """Return the earliest time at which a signal handled now may have come.

        Args:
            now: Current time, in seconds.

        Returns:
            The beginning of a pause that has just ended, or of a series of
            pauses if that is at most ``SERIES_MAX_S`` ago; else the current
            time.
        """
        self.record(now)
        if now - self._ended_at > GAP_MAX_S:
            return now
        return min(self._last_began_at, max(self._began_at, now - SERIES_MAX_S))
