"""Strict validation of the fields of a JSON object."""

import re

from kumquatwalk.catalogue import bounds
from kumquatwalk.exception import CatalogueError

__all__ = ["Fields"]


class Fields:
    """Removes the fields of a JSON object one by one and validates each.

    Args:
        kind: Kind of object, used in error messages.
        document: Decoded JSON value; only an object is accepted.
    """

    def __init__(self, kind: str, document: object):
        if not isinstance(document, dict):
            raise CatalogueError(
                "field_type_wrong", f"{kind} must be a JSON object"
            )
        self._kind = kind
        self._remaining = dict(document)

    def take(self, name: str) -> object:
        """Remove a field of any type and return its value.

        Args:
            name: Name of the field.

        Raises:
            CatalogueError: If the field is missing.
        """
        if name not in self._remaining:
            raise CatalogueError(
                "field_missing", f"{self._kind} has no {name!r}"
            )
        return self._remaining.pop(name)

    def take_int(self, name: str, minimum: int, maximum: int) -> int:
        """Take an integer in an inclusive range."""
        value = self.take(name)
        if not isinstance(value, int) or isinstance(value, bool):
            raise self._make_type_error(name, "a whole number")
        self._check_range(name, value, minimum, maximum)
        return value

    def take_float(self, name: str, minimum: float, maximum: float) -> float:
        """Take a number in an inclusive range, as a float."""
        value = self.take(name)
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise self._make_type_error(name, "a number")
        self._check_range(name, value, minimum, maximum)
        return float(value)

    def take_bool(self, name: str) -> bool:
        """Take a boolean."""
        value = self.take(name)
        if not isinstance(value, bool):
            raise self._make_type_error(name, "true or false")
        return value

    def take_text(self, name: str, max_characters: int) -> str:
        """Take a printable string of at most ``max_characters`` characters."""
        value = self.take(name)
        if not isinstance(value, str):
            raise self._make_type_error(name, "a text")
        if len(value) > max_characters:
            raise CatalogueError(
                "field_too_long",
                f"{self._kind} {name} is over {max_characters} characters",
            )
        if not value.isprintable():
            raise CatalogueError(
                "text_invalid",
                f"{self._kind} {name} has unprintable characters",
            )
        return value

    def take_match(self, name: str, pattern: re.Pattern) -> str:
        """Take a string that fully matches a pattern."""
        value = self.take(name)
        if not isinstance(value, str):
            raise self._make_type_error(name, "a text")
        if not pattern.fullmatch(value):
            raise CatalogueError(
                "name_invalid",
                f"{self._kind} {name} {value[:80]!r} does not match"
                f" {pattern.pattern}",
            )
        return value

    def take_name(self, name: str) -> str:
        """Take the name of an entry, an owner or a service."""
        return self.take_match(name, bounds.NAME_PATTERN)

    def take_list(self, name: str, max_items: int) -> list:
        """Take a list of at most ``max_items`` items."""
        value = self.take(name)
        if not isinstance(value, list):
            raise self._make_type_error(name, "a list")
        if len(value) > max_items:
            raise CatalogueError(
                "field_too_long",
                f"{self._kind} {name} has over {max_items} items",
            )
        return value

    def finish(self) -> None:
        """Check that all fields were taken.

        Raises:
            CatalogueError: If the object has a field that was not taken.
        """
        if self._remaining:
            name = min(self._remaining)
            raise CatalogueError(
                "field_unknown", f"{self._kind} has an unknown {name[:80]!r}"
            )

    def _check_range(self, name: str, value: float, minimum, maximum) -> None:
        if not minimum <= value <= maximum:
            raise CatalogueError(
                "limit_out_of_range",
                f"{self._kind} {name} must be {minimum} to {maximum}",
            )

    def _make_type_error(self, name: str, expected: str) -> CatalogueError:
        return CatalogueError(
            "field_type_wrong", f"{self._kind} {name} must be {expected}"
        )
