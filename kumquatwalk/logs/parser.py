"""Parser of log lines."""

import re

__all__ = ["parse_line"]

_PAIR = re.compile(r'([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s|$)')
_ESCAPE = re.compile(r"\\(u[0-9a-fA-F]{4}|U[0-9a-fA-F]{8}|.)")
_ESCAPED = {"n": "\n", "r": "\r", "t": "\t"}


def parse_line(line: str) -> dict[str, str]:
    """Return the fields of a log line.

    Text that is not a pair is ignored, such as the prefix that a log collector
    adds or the end of a truncated line. If a key is repeated, its first value
    counts.

    Args:
        line: Log line, with or without its line break.

    Returns:
        Unescaped values by key; empty if the line has no pair.

    Example:
        >>> parse_line('event=started reason="first run" oth')
        {'event': 'started', 'reason': 'first run'}
    """
    fields: dict[str, str] = {}
    for key, value in _PAIR.findall(line):
        if value.startswith('"'):
            value = _ESCAPE.sub(_unescape, value[1:-1])
        fields.setdefault(key, value)
    return fields


def _unescape(match: re.Match) -> str:
    text = match.group(1)
    if text[0] in "uU" and len(text) > 1:
        return chr(int(text[1:], 16))
    return _ESCAPED.get(text, text)
