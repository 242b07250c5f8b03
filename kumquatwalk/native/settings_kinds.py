"""Kinds of settings, each with the rule that parses and validates its text."""

import dataclasses
import enum
import functools
import ipaddress
import math
import re

from kumquatwalk.address import Address
from kumquatwalk.exception import SettingError

__all__ = [
    "AddressKind",
    "ChoiceKind",
    "IntegerKind",
    "IpKind",
    "NameKind",
    "SecondsKind",
    "SettingKind",
    "SwitchKind",
    "describe_range",
    "make_setting_error",
    "parse_value",
]

PORT_MAX = 65535

_INTEGER_TEXT = re.compile(r"-?[0-9]{1,18}")
_SWITCH_TEXTS = {
    "1": True,
    "true": True,
    "yes": True,
    "on": True,
    "0": False,
    "false": False,
    "no": False,
    "off": False,
}


@dataclasses.dataclass(frozen=True, slots=True)
class NameKind:
    """Name of letters, digits, dots, dashes and underscores.

    Attributes:
        chars_max: Max length, in characters.
    """

    chars_max: int


@dataclasses.dataclass(frozen=True, slots=True)
class IntegerKind:
    """Integer within an inclusive range.

    Attributes:
        minimum: Min value.
        maximum: Max value.
    """

    minimum: int
    maximum: int


@dataclasses.dataclass(frozen=True, slots=True)
class SecondsKind:
    """Finite number of seconds within an inclusive range.

    Attributes:
        minimum: Min value, in seconds.
        maximum: Max value, in seconds.
    """

    minimum: float
    maximum: float


@dataclasses.dataclass(frozen=True, slots=True)
class IpKind:
    """IP address of one network interface.

    Attributes:
        loopback: Whether it must be a loopback address.
    """

    loopback: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AddressKind:
    """Address in the form ``IP:PORT``, with an IPv6 address in brackets."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceKind:
    """Member of an enumeration, given by its name in any case.

    Attributes:
        choices: The enumeration.
    """

    choices: type[enum.Enum]


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchKind:
    """Boolean value."""


SettingKind = (
    NameKind
    | IntegerKind
    | SecondsKind
    | IpKind
    | AddressKind
    | ChoiceKind
    | SwitchKind
)


def make_setting_error(name: str, value: object, allowed: str) -> SettingError:
    """Return an error that states a setting, its value and the allowed range.

    Args:
        name: Name of the setting.
        value: Rejected value; its representation is truncated to 80
            characters.
        allowed: Description of the allowed values.

    Returns:
        Error with the code ``setting_invalid``.
    """
    value_text = repr(value)
    if len(value_text) > 80:
        value_text = value_text[:80] + "..."
    return SettingError(
        "setting_invalid", f"{name} is {value_text}; allowed: {allowed}"
    )


@functools.singledispatch
def describe_range(kind: SettingKind) -> str:
    """Describe the allowed values of a setting in the words of its help text.

    Args:
        kind: Kind of the setting.
    """
    raise TypeError(f"unsupported kind of setting: {type(kind).__name__}")


@describe_range.register
def _(kind: NameKind) -> str:
    return f"1 to {kind.chars_max} letters, digits, '.', '-' or '_'"


@describe_range.register
def _(kind: IntegerKind) -> str:
    return f"whole number, {kind.minimum} to {kind.maximum}"


@describe_range.register
def _(kind: SecondsKind) -> str:
    return f"seconds, {kind.minimum:g} to {kind.maximum:g}"


@describe_range.register
def _(kind: IpKind) -> str:
    return (
        "loopback IP number" if kind.loopback else "IP number of one interface"
    )


@describe_range.register
def _(_kind: AddressKind) -> str:
    return "IP:PORT"


@describe_range.register
def _(kind: ChoiceKind) -> str:
    return ", ".join(member.name.lower() for member in kind.choices)


@describe_range.register
def _(_kind: SwitchKind) -> str:
    return "true or false"


@functools.singledispatch
def parse_value(kind: SettingKind, text: str) -> object:
    """Parse the text of a setting.

    Args:
        kind: Kind of the setting.
        text: Text without surrounding white space.

    Returns:
        Value whose type depends on the kind.

    Raises:
        ValueError: The text is malformed or the value is out of range.
    """
    raise TypeError(f"unsupported kind of setting: {type(kind).__name__}")


@parse_value.register
def _(kind: NameKind, text: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9._-]+", text):
        raise ValueError(text)
    if len(text) > kind.chars_max:
        raise ValueError(text)
    return text


@parse_value.register
def _(kind: IntegerKind, text: str) -> int:
    if not _INTEGER_TEXT.fullmatch(text):
        raise ValueError(text)
    value = int(text)
    if not kind.minimum <= value <= kind.maximum:
        raise ValueError(text)
    return value


@parse_value.register
def _(kind: SecondsKind, text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    if not kind.minimum <= value <= kind.maximum:
        raise ValueError(text)
    return value


@parse_value.register
def _(kind: IpKind, text: str) -> str:
    address = ipaddress.ip_address(text)
    if address.is_unspecified or address.is_multicast:
        raise ValueError(text)
    if kind.loopback and not address.is_loopback:
        raise ValueError(text)
    return str(address)


@parse_value.register
def _(_kind: AddressKind, text: str) -> Address:
    return _parse_address(text)


@parse_value.register
def _(kind: ChoiceKind, text: str) -> enum.Enum:
    members = {member.name.lower(): member for member in kind.choices}
    if text.lower() not in members:
        raise ValueError(text)
    return members[text.lower()]


@parse_value.register
def _(_kind: SwitchKind, text: str) -> bool:
    if text.lower() not in _SWITCH_TEXTS:
        raise ValueError(text)
    return _SWITCH_TEXTS[text.lower()]


def _parse_address(text: str) -> Address:
    host, _, port = text.strip().rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    ip_address = str(ipaddress.ip_address(host))
    return Address(ip_address, parse_value(IntegerKind(1, PORT_MAX), port))
