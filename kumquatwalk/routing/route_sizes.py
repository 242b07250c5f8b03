"""Mean and largest size of calls with their replies, by route."""

import math

__all__ = ["RouteSizes"]

# Smoothing factor: the mean covers about the last twenty replies.
SMOOTHING_FACTOR = 0.1
# Size assumed for a route without replies, in kilobytes.
DEFAULT_KB = 1.0
# Bytes transferred besides the bodies: headers, frames and packets.
OVERHEAD_BYTES = 500
# Bounds memory; a configuration has a few hundred routes, of which few are in
# use.
ROUTES_MAX = 512
_KB = 1000


class RouteSizes:
    """Exponentially weighted mean and largest transfer size by route."""

    def __init__(self):
        self._means: dict[str, float] = {}
        self._largest_bytes: dict[str, int] = {}

    def record(self, route: str, body_bytes: int) -> None:
        """Record a reply, evicting the oldest route when the table is full.

        Args:
            route: Name of the route.
            body_bytes: Size of the request body and the response body together.
        """
        size_kb = (body_bytes + OVERHEAD_BYTES) / _KB
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) >= ROUTES_MAX:
                oldest = next(iter(self._means))
                del self._means[oldest]
                del self._largest_bytes[oldest]
            self._means[route] = size_kb
        else:
            self._means[route] = mean + SMOOTHING_FACTOR * (size_kb - mean)
        largest = self._largest_bytes.get(route, 0)
        self._largest_bytes[route] = max(largest, body_bytes)

    def estimate(self, route: str) -> float:
        """Return the mean transfer size of a call in kilobytes.

        Args:
            route: Name of the route.
        """
        return self._means.get(route, DEFAULT_KB)

    def find_largest(self, route: str) -> float:
        """Return the largest size of both bodies of a call, in bytes.

        Args:
            route: Name of the route.

        Returns:
            The size; infinite for a route without replies.
        """
        return self._largest_bytes.get(route, math.inf)
