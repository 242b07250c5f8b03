"""Conversion of the catalogue to the fleet configuration."""

from kumquatwalk.catalogue.check import check_catalogue
from kumquatwalk.catalogue.codec import decode_catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.config.route import Route
from kumquatwalk.config.route import ServiceShare

__all__ = ["decode_fleet_config", "make_route"]

_MS = 1000


def decode_fleet_config(document: bytes, limits: CallerLimits) -> FleetConfig:
    """Decode a catalogue into the fleet configuration.

    Args:
        document: Encoded catalogue as stored.
        limits: Limits on what callers may send, from the node's settings.

    Returns:
        Configuration with one route for each entry; its version is the
        revision of the catalogue.

    Raises:
        CatalogueError: The catalogue is malformed or violates a rule.
    """
    catalogue = decode_catalogue(document)
    check_catalogue(catalogue)
    routes = tuple(make_route(entry) for entry in catalogue.entries.values())
    return FleetConfig(catalogue.revision, routes, {}, limits)


def make_route(entry: Entry) -> Route:
    """Return the route of an entry.

    A run that the target answered with a failure is not retried, because the
    caller can judge better whether a retry is useful.
    """
    limits = entry.limits
    timeout_s = limits.time_ms / _MS
    return Route(
        name=entry.name,
        host="",
        path_prefix=f"/{entry.name}/",
        shares=(ServiceShare(entry.service, 1.0),),
        is_idempotent=entry.idempotent,
        attempts_max=1 + limits.retries,
        timeout_s=timeout_s,
        objective_s=timeout_s,
        rank=int(entry.importance),
        repeats_failures=False,
        in_flight_max=limits.in_flight,
        rate_max_per_s=limits.rate_per_s,
    )
