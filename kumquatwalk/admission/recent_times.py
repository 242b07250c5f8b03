"""Longest and mean duration of late, by route."""

import collections
import dataclasses

__all__ = ["RecentTimes"]

# Length of the window in buckets, and of a bucket in seconds.
BUCKETS = 60
BUCKET_S = 1.0
# Number of the latest buckets that the mean is of.
MEAN_BUCKETS = 10
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
            (
                bucket.longest_s
                for bucket in self._list_buckets(route, now, BUCKETS)
            ),
            default=None,
        )

    def count(self, route: str, now: float) -> int:
        """Return the number of durations of a route in the window.

        Args:
            route: Name of the route.
            now: Current time, in seconds.
        """
        return sum(b.count for b in self._list_buckets(route, now, BUCKETS))

    def find_mean(self, route: str, now: float) -> float | None:
        """Return the mean duration of a route of late, in seconds.

        It is of the last ``MEAN_BUCKETS`` buckets of the window.

        Args:
            route: Name of the route.
            now: Current time, in seconds.

        Returns:
            The mean; None when they hold none.
        """
        buckets = self._list_buckets(route, now, MEAN_BUCKETS)
        if not buckets:
            return None
        return sum(b.total_s for b in buckets) / sum(b.count for b in buckets)

    def _list_buckets(
        self, route: str, now: float, latest: int
    ) -> list[_Bucket]:
        oldest = int(now // BUCKET_S) - latest + 1
        return [b for b in self._buckets.get(route, ()) if b.number >= oldest]
