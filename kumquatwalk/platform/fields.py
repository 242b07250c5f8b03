"""Typed reading of decoded documents of the platform."""

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
    """Return a non-empty text field.

    Args:
        table: Decoded table.
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
    """Return a finite number that is not negative.

    Args:
        table: Decoded table.
        name: Name of the field.
        default: Value of a missing field; None when it must be there.

    Raises:
        PlatformFormatError: The field is missing, negative or no number.
    """
    value = table.get(name, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise _make_error(name, "a number of at least 0", value)
    return float(value)


def read_int(
    table: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """Return a whole number that is not negative.

    Args:
        table: Decoded table.
        name: Name of the field.
        default: Value of a missing field; None when it must be there.

    Raises:
        PlatformFormatError: The field is missing, negative or not whole.
    """
    value = read_number(table, name, default)
    if value != int(value):
        raise _make_error(name, "a whole number", value)
    return int(value)


def read_bool(table: Mapping[str, Any], name: str, default: bool) -> bool:
    """Return a truth value.

    Args:
        table: Decoded table.
        name: Name of the field.
        default: Value of a missing field.

    Raises:
        PlatformFormatError: The field is not a truth value.
    """
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise _make_error(name, "true or false", value)
    return value


def read_table(value: Any, name: str) -> Mapping[str, Any]:
    """Return the value as a table.

    Args:
        value: Decoded value.
        name: Name for the error.

    Raises:
        PlatformFormatError: The value is not a table.
    """
    if not isinstance(value, Mapping):
        raise _make_error(name, "a table", value)
    return value


def read_list(table: Mapping[str, Any], name: str) -> list[Any]:
    """Return a list field.

    Args:
        table: Decoded table.
        name: Name of the field.

    Raises:
        PlatformFormatError: The field is missing or not a list.
    """
    value = table.get(name)
    if not isinstance(value, list):
        raise _make_error(name, "a list", value)
    return value


def _make_error(name: str, wanted: str, value: Any) -> PlatformFormatError:
    shown = repr(value)[:80]
    return PlatformFormatError(
        "field_invalid", f"{name} must be {wanted}, not {shown}"
    )
