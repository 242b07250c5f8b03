"""Validated access to fields of decoded JSON and TOML documents."""

import math
from collections.abc import Mapping
from typing import Any

from kumquatwalk.exception import PlatformFormatError

__all__ = [
    "read_bool",
    "read_int",
    "read_list",
    "read_number",
    "read_table",
    "read_text",
]


def read_text(table: Mapping[str, Any], name: str) -> str:
    """Return a text field that must not be empty.

    Args:
        table: Decoded JSON object or TOML table.
        name: Name of the field.

    Raises:
        PlatformFormatError: The field is missing, empty or not text.
    """
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise _make_error(name, "non-empty text", value)
    return value


def read_number(
    table: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """Return a number field that must be finite and not negative.

    Args:
        table: Decoded JSON object or TOML table.
        name: Name of the field.
        default: Value of a missing field; None if the field is required.

    Raises:
        PlatformFormatError: The field is missing, negative, infinite or not a
            number.
    """
    value = table.get(name, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not _is_finite(value) or value < 0:
        raise _make_error(name, "a number of at least 0", value)
    return float(value)


def read_int(
    table: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """Return a number field that must be whole and not negative.

    Args:
        table: Decoded JSON object or TOML table.
        name: Name of the field.
        default: Value of a missing field; None if the field is required.

    Raises:
        PlatformFormatError: The field is missing, negative, infinite or not a
            whole number.
    """
    value = read_number(table, name, default)
    if value != int(value):
        raise _make_error(name, "a whole number", value)
    return int(value)


def read_bool(table: Mapping[str, Any], name: str, default: bool) -> bool:
    """Return a boolean field.

    Args:
        table: Decoded JSON object or TOML table.
        name: Name of the field.
        default: Value of a missing field.

    Raises:
        PlatformFormatError: The field is not a boolean.
    """
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise _make_error(name, "true or false", value)
    return value


def read_table(value: Any, name: str) -> Mapping[str, Any]:
    """Return a decoded value that must be a table.

    Args:
        value: Decoded value; a table is a JSON object or a TOML table.
        name: Name of the field, for the error message.

    Raises:
        PlatformFormatError: The value is not a table.
    """
    if not isinstance(value, Mapping):
        raise _make_error(name, "a table", value)
    return value


def read_list(table: Mapping[str, Any], name: str) -> list[Any]:
    """Return a list field; its items are not checked.

    Args:
        table: Decoded JSON object or TOML table.
        name: Name of the field.

    Raises:
        PlatformFormatError: The field is missing or not a list.
    """
    value = table.get(name)
    if not isinstance(value, list):
        raise _make_error(name, "a list", value)
    return value


def _is_finite(value: float) -> bool:
    try:
        return math.isfinite(value)
    except OverflowError:
        # JSON can hold whole numbers beyond the range of floating point.
        return False


def _make_error(name: str, expected: str, value: Any) -> PlatformFormatError:
    value_text = repr(value)[:80]
    return PlatformFormatError(
        "field_invalid", f"{name} must be {expected}, not {value_text}"
    )
