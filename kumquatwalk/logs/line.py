"""Format of a log line: key=value pairs, quoted where needed."""

import re
from collections.abc import Mapping

__all__ = ["LINE_BYTES_MAX", "VALUE_CHARS_MAX", "format_line", "format_value"]

LINE_BYTES_MAX = 4096
VALUE_CHARS_MAX = 512

_TRUNCATION_MARK = "..."
_PLAIN_VALUE = re.compile(r"[!#-<>-\[\]-~]+")
_KEY_FORBIDDEN = re.compile(r"[^A-Za-z0-9_.]")
_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"}


def format_line(fields: Mapping[str, object]) -> str:
    """Return the fields as one line of at most ``LINE_BYTES_MAX`` bytes.

    If the pairs do not fit, the line holds the leading ones that do and ends
    with ``truncated=true``.

    Args:
        fields: Values by key, in the order in which they are written.
            Characters other than ASCII letters, digits, ``_`` and ``.`` in a
            key become ``_``, and only its first 64 characters are kept.

    Returns:
        Printable ASCII text without a line break.

    Example:
        >>> format_line({"event": "started", "reason": "first run"})
        'event=started reason="first run"'
    """
    suffix = " truncated=true"
    remaining_bytes = LINE_BYTES_MAX - len(suffix)
    pairs: list[str] = []
    for key, value in fields.items():
        pair = f"{_format_key(key)}={format_value(value)}"
        remaining_bytes -= len(pair) + 1
        if remaining_bytes < 0:
            return " ".join(pairs) + suffix
        pairs.append(pair)
    return " ".join(pairs)


def format_value(value: object) -> str:
    """Return a value as written on a log line, quoted where needed.

    Args:
        value: Any value. Floats get six significant digits, booleans and None
            are written in lower case, and other types by ``str``. Text longer
            than ``VALUE_CHARS_MAX`` is cut and ends with ``...``.

    Returns:
        Printable ASCII text; spaces occur only between quotes.
    """
    text = _convert_value(value)
    if len(text) > VALUE_CHARS_MAX:
        text = text[:VALUE_CHARS_MAX] + _TRUNCATION_MARK
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return '"' + "".join(map(_escape_char, text)) + '"'


def _convert_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    if value is None:
        return "none"
    return str(value)


def _escape_char(char: str) -> str:
    if char in _ESCAPES:
        return _ESCAPES[char]
    if " " <= char <= "~":
        return char
    code = ord(char)
    return f"\\u{code:04x}" if code < 0x10000 else f"\\U{code:08x}"


def _format_key(key: str) -> str:
    return _KEY_FORBIDDEN.sub("_", key[:64]) or "_"
