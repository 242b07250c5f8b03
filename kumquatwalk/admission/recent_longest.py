"""Longest duration of late, by route."""

import collections

__all__ = ["RecentLongest"]

# Length of the window in buckets, and of a bucket in seconds.
BUCKETS = 10
BUCKET_S = 1.0
# Bounds memory; a configuration has a few hundred routes, of which few are in
# use.
ROUTES_MAX = 512


class RecentLongest:
    """Maximum of the durations recorded in a sliding window, by route.

    The window covers between ``BUCKETS - 1`` and ``BUCKETS`` buckets.
    """

    def __init__(self):
        self._buckets: dict[str, collections.deque[tuple[int, float]]] = {}

    def record(self, route: str, duration_s: float, now: float) -> None:
        """Record a duration, evicting the oldest route when the table is full.

        Args:
            route: Name of the route.
            duration_s: Duration, in seconds.
            now: Current time, in seconds; it never decreases.
        """
        buckets = self._buckets.get(route)
        if buckets is None:
            if len(self._buckets) >= ROUTES_MAX:
                del self._buckets[next(iter(self._buckets))]
            buckets = collections.deque(maxlen=BUCKETS)
            self._buckets[route] = buckets
        bucket = int(now // BUCKET_S)
        if buckets and buckets[-1][0] == bucket:
            duration_s = max(duration_s, buckets.pop()[1])
        buckets.append((bucket, duration_s))

    def find(self, route: str, now: float) -> float | None:
        """Return the longest duration of a route in the window, in seconds.

        Args:
            route: Name of the route.
            now: Current time, in seconds.

        Returns:
            The duration; None when the window holds none.
        """
        oldest = int(now // BUCKET_S) - BUCKETS + 1
        durations = [
            duration_s
            for bucket, duration_s in self._buckets.get(route, ())
            if bucket >= oldest
        ]
        return max(durations, default=None)
