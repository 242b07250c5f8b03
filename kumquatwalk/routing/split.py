"""Weighted traffic splitting between the services of a route."""

from kumquatwalk.config.route import Route

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Smooth weighted round robin, as in nginx, for each route.

    Over a cycle each service gets exactly its weight. Each node begins with the
    service of the highest weight, so over the fleet the split is exact only
    once the nodes have served whole cycles.
    """

    def __init__(self):
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
        total = 0.0
        for share in route.shares:
            current_weights[share.service] += share.weight
            total += share.weight
        best = max(
            route.shares, key=lambda s: current_weights[s.service]
        ).service
        current_weights[best] -= total
        return best

    def _evict(self, name: str) -> None:
        for key in [k for k in self._current_weights if k[0] == name]:
            del self._current_weights[key]
