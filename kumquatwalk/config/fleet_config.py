"""Configuration of the whole fleet, as set by the operators."""

import dataclasses
import functools
from collections.abc import Mapping

from kumquatwalk.config.route import Route
from kumquatwalk.config.team import TeamTable

__all__ = ["CallerLimits", "FleetConfig", "ServiceConfig"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Settings of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        connections_max: Maximum number of connections to one of its targets.
    """

    name: str
    health_path: str
    connections_max: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    Attributes:
        header_bytes_max: Maximum size of a request head, in bytes.
        body_bytes_max: Maximum size of a request body, in bytes.
        header_timeout_s: Time within which a request head must be received, in
            seconds.
        idle_timeout_s: Time after which an idle connection may be closed, in
            seconds.
    """

    header_bytes_max: int = 16384
    body_bytes_max: int = 8 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class FleetConfig:
    """One version of the routes, services and limits of the fleet.

    Attributes:
        version: Version number; a higher one is newer.
        routes: Routes of all services.
        services: Services by name.
        limits: Limits on the requests of callers.
        teams: Teams of the callers; None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceConfig]
    limits: CallerLimits
    teams: TeamTable | None = None

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        table: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            table.setdefault(route.host, {})[route.path_prefix] = route
        return table

    @functools.cached_property
    def routes_by_name(self) -> Mapping[str, Route]:
        """Routes by name."""
        return {route.name: route for route in self.routes}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of the path.

        Args:
            host: Host name in the request; case is ignored.
            path: Path, with or without a query.

        Returns:
            The route, or None when no route of that host matches.
        """
        routes = self._routes_by_host.get(host.lower())
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
