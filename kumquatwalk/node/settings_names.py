"""Kind of setting that is a list of names."""

import dataclasses

from kumquatwalk.node.settings_kinds import NameKind
from kumquatwalk.node.settings_kinds import describe_range
from kumquatwalk.node.settings_kinds import parse_value

__all__ = ["NameListKind"]

_NAMES_MAX = 64


@dataclasses.dataclass(frozen=True, slots=True)
class NameListKind:
    """Comma-separated list of names; may be empty.

    Attributes:
        chars_max: Longest name, in characters.
    """

    chars_max: int


@describe_range.register
def _describe(kind: NameListKind) -> str:
    names = describe_range(NameKind(kind.chars_max))
    return f"up to {_NAMES_MAX} names of {names}, separated by commas"


@parse_value.register
def _parse(kind: NameListKind, text: str) -> tuple[str, ...]:
    if not text:
        return ()
    name_kind = NameKind(kind.chars_max)
    names = tuple(parse_value(name_kind, name) for name in text.split(","))
    if len(names) > _NAMES_MAX:
        raise ValueError(text)
    return names
