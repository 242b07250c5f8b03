"""Decoder of the fleet configuration that operators keep in the store."""

import json
import re
from collections.abc import Mapping
from typing import Any

from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.config.fleet_config import FleetConfig
from kumquatwalk.config.fleet_config import ServiceConfig
from kumquatwalk.config.route import Route
from kumquatwalk.config.route import ServiceShare
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.platform import fields
from kumquatwalk.platform.teams import decode_teams

__all__ = ["decode_fleet_config"]

_VERSION = re.compile(r"r([0-9]{1,15})")
# A route of any other kind counts as not idempotent. Downloads have large
# answers and are idempotent all the same.
_IDEMPOTENT_ROUTE_KINDS = ("safe", "download")
_DEFAULT_HEALTH_PATH = "/health"
# Timeout and latency objective of a route that sets none: longer than any
# caller waits.
_NO_TIMEOUT_S = 3600.0
# Rank of a route that sets no priority: after all routes that set one.
_DEFAULT_RANK = 9


def decode_fleet_config(document: bytes) -> FleetConfig:
    """Decode a fleet configuration; unknown fields are ignored.

    Args:
        document: JSON text as stored under ``names.KEY_FLEET_CONFIG``.

    Returns:
        The configuration, with defaults for the optional fields that are
        missing.

    Raises:
        PlatformFormatError: The document is not valid JSON, or a field is
            missing or malformed.
    """
    try:
        table = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise PlatformFormatError("json_invalid", str(error)[:200]) from error
    table = fields.read_table(table, "configuration")
    services = [_decode_service(s) for s in fields.read_list(table, "services")]
    routes: list[Route] = []
    for entry in fields.read_list(table, "virtualHosts"):
        routes += _decode_virtual_host(fields.read_table(entry, "virtualHosts"))
    return FleetConfig(
        version=_decode_version(table),
        routes=tuple(routes),
        services={service.name: service for service in services},
        limits=_decode_limits(table),
        teams=decode_teams(table),
    )


def _decode_version(table: Mapping[str, Any]) -> int:
    match = _VERSION.fullmatch(fields.read_text(table, "version"))
    if match is None:
        raise PlatformFormatError(
            "field_invalid",
            f"version {table['version']!r:.40} must be 'r' and digits",
        )
    return int(match.group(1))


def _decode_service(value: Any) -> ServiceConfig:
    table = fields.read_table(value, "services")
    has_path = bool(table.get("healthPath"))
    return ServiceConfig(
        name=fields.read_text(table, "name"),
        health_path=fields.read_text(table, "healthPath")
        if has_path
        else _DEFAULT_HEALTH_PATH,
        # Connections that one target accepts from all its callers together.
        connections_max=fields.read_int(table, "maxConnections", 0),
    )


def _decode_virtual_host(table: Mapping[str, Any]) -> list[Route]:
    host = fields.read_text(table, "host").lower()
    return [
        _decode_route(host, fields.read_table(path, "paths"))
        for path in fields.read_list(table, "paths")
    ]


def _decode_route(host: str, table: Mapping[str, Any]) -> Route:
    prefix = fields.read_text(table, "pathPrefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise PlatformFormatError(
            "field_invalid",
            f"pathPrefix {prefix!r:.80} must start and end with /",
        )
    return Route(
        name=fields.read_text(table, "name"),
        host=host,
        path_prefix=prefix,
        shares=_decode_shares(table),
        is_idempotent=table.get("routeKind") in _IDEMPOTENT_ROUTE_KINDS,
        attempts_max=max(1, fields.read_int(table, "maxAttempts", 1)),
        timeout_s=fields.read_number(table, "timeoutS", _NO_TIMEOUT_S),
        objective_s=fields.read_number(table, "targetLatencyS", _NO_TIMEOUT_S),
        rank=fields.read_int(table, "priority", _DEFAULT_RANK),
        is_public=fields.read_bool(table, "public", False),
    )


def _decode_shares(table: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    if table.get("trafficSplit") is None:
        return (ServiceShare(fields.read_text(table, "service"), 1.0),)
    shares = []
    for value in fields.read_list(table, "trafficSplit"):
        split = fields.read_table(value, "trafficSplit")
        weight = fields.read_number(split, "weight")
        shares.append(ServiceShare(fields.read_text(split, "service"), weight))
    if not any(share.weight > 0 for share in shares):
        raise PlatformFormatError(
            "field_invalid", "trafficSplit has no positive weight"
        )
    return tuple(shares)


def _decode_limits(table: Mapping[str, Any]) -> CallerLimits:
    limits = fields.read_table(table.get("limits", {}), "limits")
    defaults = CallerLimits()
    return CallerLimits(
        fields.read_int(limits, "maxHeaderBytes", defaults.header_bytes_max),
        fields.read_int(limits, "maxBodyBytes", defaults.body_bytes_max),
        fields.read_number(limits, "headerTimeoutS", defaults.header_timeout_s),
        fields.read_number(limits, "idleTimeoutS", defaults.idle_timeout_s),
    )
