"""Strict reader of the fields of one JSON object."""

import re

from kumquatwalk.catalogue import bounds
from kumquatwalk.exception import CatalogueError

__all__ = ["Fields"]


class Fields:
    """Takes the fields of a JSON object one by one, checking each.

    Args:
        kind: What the object describes, for messages.
        document: Value read from JSON; anything but an object is refused.
    """

    def __init__(self, kind: str, document: object):
        if not isinstance(document, dict):
            raise CatalogueError(
                "field_type_wrong", f"{kind} must be a JSON object"
            )
        self._kind = kind
        self._left = dict(document)

    def take(self, name: str) -> object:
        """Take a field of any type.

        Args:
            name: Name of the field.

        Raises:
            CatalogueError: If the field is missing.
        """
        if name not in self._left:
            raise CatalogueError(
                "field_missing", f"{self._kind} has no {name!r}"
            )
        return self._left.pop(name)

    def take_int(self, name: str, least: int, most: int) -> int:
        """Take a whole number within a range."""
        value = self.take(name)
        if not isinstance(value, int) or isinstance(value, bool):
            raise self._make_type_error(name, "a whole number")
        self._check_range(name, value, least, most)
        return value

    def take_float(self, name: str, least: float, most: float) -> float:
        """Take a number within a range."""
        value = self.take(name)
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            raise self._make_type_error(name, "a number")
        self._check_range(name, value, least, most)
        return float(value)

    def take_bool(self, name: str) -> bool:
        """Take a true or false value."""
        value = self.take(name)
        if not isinstance(value, bool):
            raise self._make_type_error(name, "true or false")
        return value

    def take_text(self, name: str, max_characters: int) -> str:
        """Take a text of bounded length without control characters."""
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
                f"{self._kind} {name} has characters that cannot be printed",
            )
        return value

    def take_match(self, name: str, pattern: re.Pattern) -> str:
        """Take a text that matches the whole of a pattern."""
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
        """Take a name of an entry, an owner or a service."""
        return self.take_match(name, bounds.NAME_PATTERN)

    def take_list(self, name: str, max_items: int) -> list:
        """Take a list of bounded length."""
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
        """Check that no field is left.

        Raises:
            CatalogueError: If the object has a field that was not taken.
        """
        if self._left:
            name = min(self._left)
            raise CatalogueError(
                "field_unknown", f"{self._kind} has an unknown {name[:80]!r}"
            )

    def _check_range(self, name: str, value: float, least, most) -> None:
        if not least <= value <= most:
            raise CatalogueError(
                "limit_out_of_range",
                f"{self._kind} {name} must be {least} to {most}",
            )

    def _make_type_error(self, name: str, wanted: str) -> CatalogueError:
        return CatalogueError(
            "field_type_wrong", f"{self._kind} {name} must be {wanted}"
        )
