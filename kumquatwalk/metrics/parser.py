"""Parser of the Prometheus text format."""

import re

from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.sample import Sample

__all__ = ["parse_text"]

_PAIR = r'[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\]|\\.)*"'
_LINE = re.compile(
    rf"(?P<name>[a-zA-Z_:][a-zA-Z0-9_:]*)"
    rf"(?:\{{(?P<pairs>(?:{_PAIR}(?:,|(?=\}})))*)\}})?"
    r"[ \t]+(?P<value>[^ \t]+)(?:[ \t]+-?\d+)?"
)
_NAMED_PAIR = re.compile(
    r'(?P<name>[a-zA-Z_][a-zA-Z0-9_]*)="(?P<value>(?:[^"\\]|\\.)*)"'
)
_ESCAPE = re.compile(r"\\(.)")
_UNESCAPED = {"n": "\n", "\\": "\\", '"': '"'}


def parse_text(text: str) -> tuple[Sample, ...]:
    """Parse metrics in the Prometheus text format.

    Args:
        text: Metrics in the Prometheus text format; time stamps are ignored.

    Returns:
        The samples in the order of their lines; comments and blank lines are
        ignored.

    Raises:
        KumquatwalkError: A line is malformed.

    Example:
        >>> parse_text('calls_total{entry="pay"} 3\\n')[0].value
        3.0
    """
    lines = enumerate(text.split("\n"), start=1)
    rows = [(number, line.strip()) for number, line in lines]
    return tuple(
        _parse_line(line, number)
        for number, line in rows
        if line and not line.startswith("#")
    )


def _parse_line(line: str, number: int) -> Sample:
    match = _LINE.fullmatch(line)
    if match is None:
        raise _make_error(number)
    try:
        value = float(match["value"])
    except ValueError:
        raise _make_error(number) from None
    labels = tuple(
        Label(pair["name"], _unescape(pair["value"]))
        for pair in _NAMED_PAIR.finditer(match["pairs"] or "")
    )
    return Sample(match["name"], labels, value)


def _unescape(value: str) -> str:
    return _ESCAPE.sub(lambda m: _UNESCAPED.get(m[1], m[0]), value)


def _make_error(number: int) -> KumquatwalkError:
    return KumquatwalkError("metrics_malformed", f"line {number} is malformed")
