"""Mean size of calls and their replies, by route."""

__all__ = ["RouteSizes"]

# Weight of one reply in the mean: about the last twenty count.
WEIGHT = 0.1
# Size assumed for a route that has no reply yet, in kilobytes.
DEFAULT_KB = 1.0
# Bytes of a call beside its body and its answer: headers, frame, packets.
OVERHEAD_BYTES = 500
# Routes kept; a configuration has a few hundred, of which few are in use.
ROUTES_MAX = 512
_KB = 1000


class RouteSizes:
    """Exponentially weighted means."""

    def __init__(self):
        self._means: dict[str, float] = {}

    def note(self, route: str, body_bytes: int) -> None:
        """Record a reply.

        Args:
            route: Name of the route.
            body_bytes: Bytes of the request's body and of its answer's.
        """
        size_kb = (body_bytes + OVERHEAD_BYTES) / _KB
        mean = self._means.get(route)
        if mean is None:
            if len(self._means) >= ROUTES_MAX:
                del self._means[next(iter(self._means))]
            self._means[route] = size_kb
        else:
            self._means[route] = mean + WEIGHT * (size_kb - mean)

    def estimate(self, route: str) -> float:
        """Return the mean size in kilobytes.

        Args:
            route: Name of the route.
        """
        return self._means.get(route, DEFAULT_KB)
