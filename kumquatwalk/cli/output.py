"""Output of commands: tables for people, JSON for scripts."""

import json
from collections.abc import Iterable
from collections.abc import Sequence

import click

__all__ = ["print_json", "print_table"]

_COLUMN_GAP = "  "


def print_table(
    headings: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print a table with aligned columns.

    Control characters are escaped, since values may come from other processes
    and must not control the terminal. Empty cells are shown as ``-``.

    Args:
        headings: Heading of each column.
        rows: Cells of each row, as many as there are headings.
    """
    table = [list(headings)]
    table.extend([_format_cell(cell) for cell in row] for row in rows)
    widths = [max(map(len, column)) for column in zip(*table)]
    for cells in table:
        padded = [cell.ljust(width) for cell, width in zip(cells, widths)]
        click.echo(_COLUMN_GAP.join(padded).rstrip())


def print_json(value: object) -> None:
    """Print a value as one line of JSON with sorted keys.

    Args:
        value: Value that ``json.dumps`` accepts.
    """
    click.echo(json.dumps(value, sort_keys=True, ensure_ascii=False))


def _format_cell(cell: object) -> str:
    text = "-" if cell is None or cell == "" else str(cell)
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)
