"""Decoder of the operators' configuration in the platform's store."""

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

__all__ = ["decode_fleet_config"]

_VERSION = re.compile(r"r([0-9]{1,15})")
_IDEMPOTENT_KIND = "safe"
_HEALTH_PATH = "/health"
# Timeout of a route that sets none, in seconds: longer than any caller waits.
_NO_TIMEOUT_S = 3600.0
# Rank of a route that sets none: after all that do.
_LAST_RANK = 9


def decode_fleet_config(document: bytes) -> FleetConfig:
    """Decode a configuration.

    Args:
        document: JSON text as it lies in the store.

    Returns:
        The configuration.

    Raises:
        PlatformFormatError: The document cannot be read or lacks a field.
    """
    try:
        table = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise PlatformFormatError("json_invalid", str(error)[:200]) from error
    table = fields.read_table(table, "configuration")
    services = [_decode_service(s) for s in fields.read_list(table, "services")]
    routes: list[Route] = []
    for entry in fields.read_list(table, "virtualHosts"):
        routes += _decode_host(fields.read_table(entry, "virtualHosts"))
    return FleetConfig(
        version=_decode_version(table),
        routes=tuple(routes),
        services={service.name: service for service in services},
        limits=_decode_limits(table),
    )


def _decode_version(table: Mapping[str, Any]) -> int:
    match = _VERSION.fullmatch(fields.read_text(table, "version"))
    if match is None:
        raise PlatformFormatError(
            "field_invalid", f"version {table['version']!r:.40} is not r<n>"
        )
    return int(match.group(1))


def _decode_service(value: Any) -> ServiceConfig:
    table = fields.read_table(value, "services")
    has_path = bool(table.get("healthPath"))
    return ServiceConfig(
        name=fields.read_text(table, "name"),
        health_path=fields.read_text(table, "healthPath")
        if has_path
        else _HEALTH_PATH,
        # Connections that one target accepts from all its callers together.
        connections_max=fields.read_int(table, "maxConnections", 0),
    )


def _decode_host(table: Mapping[str, Any]) -> list[Route]:
    host = fields.read_text(table, "host").lower()
    return [
        _decode_route(host, fields.read_table(path, "paths"))
        for path in fields.read_list(table, "paths")
    ]


def _decode_route(host: str, table: Mapping[str, Any]) -> Route:
    prefix = fields.read_text(table, "pathPrefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise PlatformFormatError(
            "field_invalid", f"pathPrefix {prefix!r:.80} lacks a slash"
        )
    return Route(
        name=fields.read_text(table, "name"),
        host=host,
        path_prefix=prefix,
        shares=_decode_shares(table),
        is_idempotent=table.get("routeKind") == _IDEMPOTENT_KIND,
        attempts_max=max(1, fields.read_int(table, "maxAttempts", 1)),
        timeout_s=fields.read_number(table, "timeoutS", _NO_TIMEOUT_S),
        objective_s=fields.read_number(table, "targetLatencyS", _NO_TIMEOUT_S),
        rank=fields.read_int(table, "priority", _LAST_RANK),
    )


def _decode_shares(table: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    if table.get("trafficSplit") is None:
        return (ServiceShare(fields.read_text(table, "service"), 1.0),)
    shares = []
    for value in fields.read_list(table, "trafficSplit"):
        part = fields.read_table(value, "trafficSplit")
        weight = fields.read_number(part, "weight")
        shares.append(ServiceShare(fields.read_text(part, "service"), weight))
    if not any(share.weight > 0 for share in shares):
        raise PlatformFormatError("field_invalid", "trafficSplit is empty")
    return tuple(shares)


def _decode_limits(table: Mapping[str, Any]) -> CallerLimits:
    limits = fields.read_table(table.get("limits", {}), "limits")
    least = CallerLimits()
    return CallerLimits(
        fields.read_int(limits, "maxHeaderBytes", least.header_bytes_max),
        fields.read_int(limits, "maxBodyBytes", least.body_bytes_max),
        fields.read_number(limits, "headerTimeoutS", least.header_timeout_s),
        fields.read_number(limits, "idleTimeoutS", least.idle_timeout_s),
    )
