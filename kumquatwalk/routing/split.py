"""Weighted traffic splitting between the services of a route."""

import random

from kumquatwalk.config.route import Route

__all__ = ["TrafficSplitter"]

# Number of points of the cycle at which a route may begin: weights are usually
# percentages.
STARTING_POINTS = 100


class TrafficSplitter:
    """Smooth weighted round robin, as in nginx, for each route.

    Over a cycle each service gets exactly its weight. Each node begins at a
    random point of the cycle, so the split holds over the fleet also while each
    node has served a few requests only.

    Args:
        rng: Random source of the point at which a route begins.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._current_weights: dict[tuple[str, tuple], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request on a route.

        The state of a route is reset when its weights change.

        Args:
            route: Route of the request.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, route.shares)
        current_weights = self._current_weights.get(key)
        if current_weights is None:
            self._evict(route.name)
            current_weights = {share.service: 0.0 for share in route.shares}
            self._current_weights[key] = current_weights
            for _ in range(self._rng.randrange(STARTING_POINTS)):
                _advance(route, current_weights)
        return _advance(route, current_weights)

    def _evict(self, name: str) -> None:
        for key in [k for k in self._current_weights if k[0] == name]:
            del self._current_weights[key]


def _advance(route: Route, current_weights: dict[str, float]) -> str:
    """Return the next service of the cycle and move on by one request."""
    total = 0.0
    for share in route.shares:
        current_weights[share.service] += share.weight
        total += share.weight
    best = max(route.shares, key=lambda s: current_weights[s.service]).service
    current_weights[best] -= total
    return best
