"""Routes for tests."""

from kumquatwalk.config.route import Route
from kumquatwalk.config.route import ServiceShare

__all__ = ["make_route"]


def make_route(service: str = "money", **changes) -> Route:
    """Return the route ``pay`` with default values.

    Args:
        service: Service that serves the route.
        **changes: Fields of the route that replace the defaults.
    """
    fields = {
        "name": "pay",
        "host": "",
        "path_prefix": "/pay/",
        "shares": (ServiceShare(service, 1.0),),
        "is_idempotent": True,
        "attempts_max": 2,
        "timeout_s": 5.0,
        "objective_s": 5.0,
        "rank": 0,
    }
    return Route(**(fields | changes))
