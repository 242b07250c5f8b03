"""Longest timeout that the callers of each route have given lately."""

__all__ = ["LongestTimeouts"]

# Length of a window, in seconds. A timeout counts in its window and the next
# one, so it is forgotten after one to two windows.
WINDOW_S = 15.0


class LongestTimeouts:
    """Holds the longest timeout of the last one to two windows, by route."""

    def __init__(self):
        self._window = -1
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}

    def record(self, route: str, timeout_s: float, now: float) -> float:
        """Record a timeout and return the longest one.

        Args:
            route: Name of the route.
            timeout_s: Timeout that a caller gave, in seconds.
            now: Current time, in seconds.
        """
        window = int(now / WINDOW_S)
        if window != self._window:
            is_next = window == self._window + 1
            self._previous = self._current if is_next else {}
            self._current = {}
            self._window = window
        longest = max(timeout_s, self._current.get(route, 0.0))
        self._current[route] = longest
        return max(longest, self._previous.get(route, 0.0))
