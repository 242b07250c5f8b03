"""Longest and mean duration of late, by route."""

import collections
import dataclasses

__all__ = ["RecentTimes"]

# Length of the window in buckets, and of a bucket in seconds.
BUCKETS = 10
BUCKET_S = 1.0
# Bounds memory; a configuration has a few hundred routes, of which few are in
# use.
ROUTES_MAX = 512


@dataclasses.dataclass(slots=True)
class _Bucket:
    number: int
    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0


class RecentTimes:
    """Durations recorded in a sliding window, by route.

    The window covers between ``BUCKETS - 1`` and ``BUCKETS`` buckets.
    """

    def __init__(self):
        self._buckets: dict[str, collections.deque[_Bucket]] = {}

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
        number = int(now // BUCKET_S)
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
        bucket = buckets[-1]
        bucket.count += 1
        bucket.total_s += duration_s
        bucket.longest_s = max(bucket.longest_s, duration_s)

    def find_longest(self, route: str, now: float) -> float | None:
        """Return the longest duration of a route in the window, in seconds.

        Args:
            route: Name of the route.
            now: Current time, in seconds.

        Returns:
            The duration; None when the window holds none.
        """
        return max(
            (bucket.longest_s for bucket in self._list_buckets(route, now)),
            default=None,
        )

    def find_mean(self, route: str, now: float) -> float | None:
        """Return the mean duration of a route in the window, in seconds.

        Args:
            route: Name of the route.
            now: Current time, in seconds.

        Returns:
            The mean; None when the window holds none.
        """
        buckets = self._list_buckets(route, now)
        if not buckets:
            return None
        return sum(b.total_s for b in buckets) / sum(b.count for b in buckets)

    def _list_buckets(self, route: str, now: float) -> list[_Bucket]:
        oldest = int(now // BUCKET_S) - BUCKETS + 1
        return [b for b in self._buckets.get(route, ()) if b.number >= oldest]
