"""Routes that have been classified as internal for some time."""

__all__ = ["SettledRoutes"]

# Time for which a route must have been internal, in seconds. The graph of a
# process that has just started, or of a fleet that restarts, misses callers.
SETTLED_S = 10.0
# Bounds memory; a configuration has a few hundred routes, of which few are in
# use.
ROUTES_MAX = 512


class SettledRoutes:
    """Remembers since when each route has been internal."""

    def __init__(self):
        self._since: dict[str, float] = {}

    def record(
        self, route: str, is_internal: bool, is_external: bool, now: float
    ) -> None:
        """Record how a route is classified; neither changes nothing.

        Args:
            route: Name of the route.
            is_internal: Whether it is classified as called by targets only.
            is_external: Whether it is classified as used by callers.
            now: Current time, in seconds.
        """
        if is_external:
            self._since.pop(route, None)
        elif is_internal and route not in self._since:
            if len(self._since) >= ROUTES_MAX:
                del self._since[next(iter(self._since))]
            self._since[route] = now

    def is_internal(self, route: str, now: float) -> bool:
        """Return whether a route has been internal for ``SETTLED_S``.

        Args:
            route: Name of the route.
            now: Current time, in seconds.
        """
        since = self._since.get(route)
        return since is not None and now - since >= SETTLED_S
