"""Traffic split: which of a route's services gets the next request."""

from kumquatwalk.config.route import Route

__all__ = ["TrafficSplitter"]


class TrafficSplitter:
    """Smooth weighted round robin, as in nginx, for each route.

    Each part gets its share exactly over a cycle, so that the shares hold
    over the fleet however few requests a node sees.
    """

    def __init__(self):
        self._balances: dict[tuple[str, tuple], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route.

        Args:
            route: The route.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, route.shares)
        balances = self._balances.get(key)
        if balances is None:
            self._forget(route.name)
            balances = {share.service: 0.0 for share in route.shares}
            self._balances[key] = balances
        total = 0.0
        for share in route.shares:
            balances[share.service] += share.weight
            total += share.weight
        best = max(route.shares, key=lambda s: balances[s.service]).service
        balances[best] -= total
        return best

    def _forget(self, name: str) -> None:
        for key in [k for k in self._balances if k[0] == name]:
            del self._balances[key]
