"""The ``catalogue import`` command."""

import click

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.entry_codec import parse_entry
from kumquatwalk.catalogue.fields import Fields
from kumquatwalk.catalogue.json_text import parse_json
from kumquatwalk.cli.catalogue_options import add_edit_options
from kumquatwalk.cli.catalogue_options import add_platform_options
from kumquatwalk.cli.catalogue_options import make_change_id
from kumquatwalk.cli.catalogue_options import make_store
from kumquatwalk.cli.catalogue_read import FILE_FORMAT
from kumquatwalk.cli.catalogue_write import run_edit
from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.edit_settings import take_settings
from kumquatwalk.cli.output import print_json
from kumquatwalk.exception import CatalogueError

__all__ = ["import_entries"]


@click.command("import")
@click.argument("file", type=click.File("rb"))
@click.option(
    "--remove-others",
    is_flag=True,
    help="Remove the entries that the file does not have.",
)
@add_edit_options
@add_platform_options
@convert_errors
def import_entries(file, remove_others, **options) -> None:
    """Set the entries of a file as export prints it; "-" reads the input.

    The whole is checked first and written at once: all of it takes effect, or
    nothing. Each entry that differs has its own record in the history.
    """
    settings = take_settings(options)
    entries = _parse_file(file.read(bounds.MAX_DOCUMENT_BYTES + 1))
    store = make_store(settings.platform, settings.timeout_s)
    seen = store.load().catalogue
    expected = seen.revision if settings.expect is None else settings.expect
    changes = _list_changes(seen, entries, remove_others, expected)
    if changes:
        run_edit(store, changes, settings)
    elif settings.as_json:
        document = {"dry_run": settings.dry_run, "revision": seen.revision}
        print_json({**document, "records": []})
    else:
        click.echo(f"nothing to change at revision {seen.revision}")


def _parse_file(data: bytes) -> tuple[Entry, ...]:
    fields = Fields("file", parse_json(data))
    fields.take_int("format", FILE_FORMAT, FILE_FORMAT)
    rows = fields.take_list("entries", bounds.MAX_ENTRIES)
    fields.finish()
    entries = tuple(map(parse_entry, rows))
    if len({entry.name for entry in entries}) != len(entries):
        raise CatalogueError("entry_repeated", "two entries have one name")
    return entries


def _list_changes(
    seen: Catalogue,
    entries: tuple[Entry, ...],
    remove_others: bool,
    expected: int,
) -> tuple[Change, ...]:
    wanted: dict[str, Entry | None] = {e.name: e for e in entries}
    if remove_others:
        for name in seen.entries:
            wanted.setdefault(name, None)
    return tuple(
        Change(name, after, make_change_id(), expected)
        for name, after in wanted.items()
        if seen.entries.get(name) != after
    )
