"""Validation of the settings of a node."""

import difflib
import itertools
from collections.abc import Iterable
from collections.abc import Mapping

from kumquatwalk.exception import SettingError
from kumquatwalk.native.settings import NodeSettings
from kumquatwalk.native.settings_kinds import describe_range
from kumquatwalk.native.settings_kinds import make_setting_error
from kumquatwalk.native.settings_kinds import parse_value
from kumquatwalk.native.settings_spec import SETTING_SPECS
from kumquatwalk.native.settings_spec import VARIABLE_PREFIX
from kumquatwalk.native.settings_spec import SettingSpec

__all__ = ["check_settings", "find_unknown_variables", "suggest_variable"]

# Variables of commands other than ``node``.
_OTHER_VARIABLES = frozenset(
    VARIABLE_PREFIX + name
    for name in (
        "AS_ADMIN",
        "AUTHOR",
        "CONFIG",
        "DRY_RUN",
        "ENTRY",
        "EXPECT",
        "JSON",
        "LIMIT",
        "NODE",
        "NODES",
        "OWNER",
        "PLATFORM_TIMEOUT",
        "REASON",
        "STANDIN_PLATFORM_LISTEN",
    )
)
_TCP_PORTS = (
    ("http_port", "host"),
    ("local_port", "local_host"),
    ("link_port", "host"),
)


def check_settings(texts: Mapping[str, str | None]) -> NodeSettings:
    """Parse and validate the settings of a node.

    Args:
        texts: Text of each setting by its name, as given on the command line
            or in the environment. Defaults are used for missing ones.

    Returns:
        The settings, each within its range and consistent with the others.

    Raises:
        SettingError: A setting is missing, unknown, malformed, out of range or
            inconsistent with another one; the message names it.

    Example:
        >>> texts = {"node_id": "a1", "zone": "a", "host": "127.0.0.1"}
        >>> texts["platform"] = "127.0.0.1:7000"
        >>> check_settings(texts).http_port
        8080
    """
    names = {spec.name for spec in SETTING_SPECS}
    for name in sorted(texts.keys() - names):
        raise make_setting_error(name, texts[name], "no such setting")
    values = {
        spec.name: _check_value(spec, texts.get(spec.name))
        for spec in SETTING_SPECS
    }
    settings = NodeSettings(**values)
    _check_ports(settings)
    return settings


def find_unknown_variables(names: Iterable[str]) -> tuple[str, ...]:
    """Return the variables with ``VARIABLE_PREFIX`` that no command reads.

    Args:
        names: Names of environment variables.

    Returns:
        The names in sorted order.

    Example:
        >>> find_unknown_variables(["HOME", "KUMQUATWALK_ZNE"])
        ('KUMQUATWALK_ZNE',)
    """
    known = {spec.variable for spec in SETTING_SPECS} | _OTHER_VARIABLES
    return tuple(
        sorted(
            name
            for name in names
            if name.startswith(VARIABLE_PREFIX) and name not in known
        )
    )


def suggest_variable(name: str) -> str | None:
    """Return the known variable most similar to a name; None if none is.

    Args:
        name: Name of an unknown variable.
    """
    known = [spec.variable for spec in SETTING_SPECS]
    matches = difflib.get_close_matches(name, known, n=1, cutoff=0.8)
    return matches[0] if matches else None


def _check_value(spec: SettingSpec, text: str | None) -> object:
    if text is None:
        text = spec.default
    if text is None:
        raise SettingError(
            "setting_missing",
            f"{spec.name} is required: give {spec.flag} or {spec.variable};"
            f" allowed: {describe_range(spec.kind)}",
        )
    try:
        return parse_value(spec.kind, text.strip())
    except ValueError:
        allowed = describe_range(spec.kind)
        raise make_setting_error(spec.name, text, allowed) from None


def _check_ports(settings: NodeSettings) -> None:
    for (first, first_host), (second, second_host) in itertools.combinations(
        _TCP_PORTS, 2
    ):
        port = getattr(settings, second)
        same_host = getattr(settings, first_host) == getattr(
            settings, second_host
        )
        if port and same_host and port == getattr(settings, first):
            allowed = f"a port other than that of {first}"
            raise make_setting_error(second, port, allowed)
