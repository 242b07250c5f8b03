"""Decoder of the settings file that the platform writes for a node."""

import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

from kumquatwalk.address import Address
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.exception import PlatformFormatError
from kumquatwalk.exception import SettingError
from kumquatwalk.platform import fields

__all__ = ["UNREADABLE", "decode_address", "decode_settings", "load_settings"]

# Code of the error of a file that cannot be read, which may pass.
UNREADABLE = "settings_unreadable"
_BYTES_PER_MB = 1024 * 1024
_BOUND_FIELDS = {
    "drainS": "drain_s",
    "graceS": "grace_s",
    "retryBudgetRatio": "retry_ratio",
    "budgetWindowS": "retry_window_s",
    "budgetSlack": "retry_slack",
    "addrReuseS": "address_reuse_s",
}


def load_settings(path: str) -> DaemonSettings:
    """Read and decode the settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings.

    Raises:
        SettingError: The file cannot be read, is not valid TOML, or a field
            is missing or malformed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(UNREADABLE, str(error)) from error
    return decode_settings(text)


def decode_settings(text: str) -> DaemonSettings:
    """Decode the text of a settings file.

    Args:
        text: TOML text; unknown fields are ignored.

    Returns:
        The settings.

    Raises:
        SettingError: The text is not valid TOML, or a field is missing or
            malformed.
    """
    try:
        return _decode(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise SettingError("settings_malformed", str(error)) from error
    except PlatformFormatError as error:
        raise SettingError("settings_invalid", error.message) from error


def decode_address(text: str, name: str) -> Address:
    """Decode an address of the form ``host:port``.

    Args:
        text: Text to decode.
        name: Name of the field, for the error message.

    Raises:
        PlatformFormatError: The host is empty, or the port is not a number up
            to 65535.
    """
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not separator or not host or not is_number or int(port) > 65535:
        raise PlatformFormatError(
            "field_invalid", f"{name} must be host:port, not {text!r:.80}"
        )
    return Address(host, int(port))


def _decode(table: Mapping[str, Any]) -> DaemonSettings:
    listen = fields.read_table(table.get("listen"), "listen")
    store = fields.read_table(table.get("platform"), "platform")
    return DaemonSettings(
        node_id=fields.read_text(table, "node"),
        availability_zone=fields.read_text(table, "zone"),
        service=fields.read_text(table, "service"),
        target=_read_address(table, "appAddr"),
        # Receives requests of callers on this VM and of its target.
        caller_listener=_read_address(listen, "outbound"),
        # Unused by the platform; nodes connect to each other on this port.
        link_listener=_read_address(listen, "inbound"),
        readiness_listener=_read_address(listen, "ready"),
        # Receives the target's heartbeats; operators never call it.
        heartbeat_listener=_read_address(listen, "control"),
        store=_read_address(store, "address"),
        metrics_listener=_read_metrics_listener(table),
        bounds=_decode_bounds(table),
        memory_max_bytes=_read_memory(table),
        # The names of the zones; their values are regions.
        zones=tuple(sorted(fields.read_table(table.get("zones", {}), "zones"))),
        fds_max=_read_descriptors(table),
        # A key of this project; the platform writes it if an operator adds it.
        admits_by_retries=fields.read_bool(table, "admitByRetries", False),
    )


def _read_address(table: Mapping[str, Any], name: str) -> Address:
    return decode_address(fields.read_text(table, name), name)


def _read_metrics_listener(table: Mapping[str, Any]) -> Address | None:
    """Return the metrics address, on the first of the VM's free ports.

    None if the file names no address or no free port.
    """
    if not table.get("portRange") or not table.get("ip"):
        return None
    ports = fields.read_list(table, "portRange")
    if len(ports) != 2 or not all(_is_port(port) for port in ports):
        raise PlatformFormatError(
            "field_invalid", "portRange must be a list of two ports"
        )
    return Address(fields.read_text(table, "ip"), ports[0])


def _is_port(value: Any) -> bool:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and 0 <= value <= 65535


def _read_memory(table: Mapping[str, Any]) -> int:
    """Return the memory of the process in bytes; 256 MB if it is not given."""
    limits = fields.read_table(table.get("limits", {}), "limits")
    return int(fields.read_number(limits, "memoryMb", 256) * _BYTES_PER_MB)


def _read_descriptors(table: Mapping[str, Any]) -> int:
    """Return the descriptors that the process may open; 4096 by default."""
    limits = fields.read_table(table.get("limits", {}), "limits")
    return int(fields.read_number(limits, "maxFds", 4096))


def _decode_bounds(table: Mapping[str, Any]) -> FleetBounds:
    texts = fields.read_list({"bounds": []} | dict(table), "bounds")
    pairs = [str(text).partition("=") for text in texts]
    values = {name: value for name, _, value in pairs}
    known = {
        field: _decode_bound(values[name], name)
        for name, field in _BOUND_FIELDS.items()
        if name in values
    }
    return FleetBounds(**known)


def _decode_bound(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise PlatformFormatError(
            "field_invalid", f"bound {name} must be a number, not {text!r:.80}"
        ) from error
    return fields.read_number({name: value}, name)
