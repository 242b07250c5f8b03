"""Concurrency and rate limits of routes, enforced at each target."""

import collections
import math

from kumquatwalk import codes
from kumquatwalk.admission.bucket import TokenBucket
from kumquatwalk.config.route import Route

__all__ = ["RouteLimits"]


class RouteLimits:
    """Enforces the limits of all routes at one target.

    Operators set a limit for the whole fleet. Each target of the service
    enforces an equal share of it. The share of a concurrency limit is rounded
    up, so that each target admits at least one call. The sum over the targets
    may therefore exceed the limit, by up to one call per target.
    """

    def __init__(self):
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._buckets: dict[str, TokenBucket] = {}

    def begin(self, route: Route, target_count: int, now: float) -> str:
        """Admit a call unless a limit of its route is reached.

        Args:
            route: Route of the call.
            target_count: Number of the service's targets that accept calls.
            now: Current time, in seconds.

        Returns:
            Code of the limit that is reached, or an empty string when the call
            is admitted. ``end`` must be called for each admitted call.
        """
        target_count = max(1, target_count)
        if route.in_flight_max is not None:
            share = max(1, math.ceil(route.in_flight_max / target_count))
            if self._in_flight[route.name] >= share:
                return codes.ENTRY_LIMIT
        if route.rate_max_per_s is not None:
            bucket = self._find_bucket(route, target_count, now)
            if not bucket.has_token(now):
                return codes.RATE_LIMIT
            bucket.take()
        self._in_flight[route.name] += 1
        return ""

    def end(self, route: Route) -> None:
        """Release the slot of an admitted call that has ended.

        Args:
            route: Route of the call.
        """
        self._in_flight[route.name] -= 1

    def _find_bucket(
        self, route: Route, target_count: int, now: float
    ) -> TokenBucket:
        rate_per_s = route.rate_max_per_s / target_count
        bucket = self._buckets.get(route.name)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, now)
            self._buckets[route.name] = bucket
        bucket.set_rate(rate_per_s, now)
        return bucket
