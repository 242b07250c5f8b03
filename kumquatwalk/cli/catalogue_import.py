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
from kumquatwalk.cli.catalogue_read import EXPORT_FORMAT_VERSION
from kumquatwalk.cli.catalogue_write import run_edit
from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.edit_settings import pop_edit_settings
from kumquatwalk.cli.output import print_json
from kumquatwalk.exception import CatalogueError

__all__ = ["import_entries"]


@click.command("import")
@click.argument("file", type=click.File("rb"))
@click.option(
    "--remove-others",
    is_flag=True,
    help="Remove entries that are not in the file.",
)
@add_edit_options
@add_platform_options
@convert_errors
def import_entries(file, remove_others, **options) -> None:
    """Import entries from a file that export wrote; "-" is standard input.

    The import is atomic: all entries are validated first and written in one
    edit, so either all of them take effect or none does. Each entry that
    differs gets its own record in the history.
    """
    settings = pop_edit_settings(options)
    entries = _parse_file(file.read(bounds.MAX_DOCUMENT_BYTES + 1))
    store = make_store(settings.platform, settings.timeout_s)
    current = store.load().catalogue
    expected = current.revision if settings.expect is None else settings.expect
    changes = _make_changes(current, entries, remove_others, expected)
    if changes:
        run_edit(store, changes, settings)
    elif settings.as_json:
        document = {"dry_run": settings.dry_run, "revision": current.revision}
        print_json({**document, "records": []})
    else:
        click.echo(f"no changes against revision {current.revision}")


def _parse_file(data: bytes) -> tuple[Entry, ...]:
    fields = Fields("file", parse_json(data))
    fields.take_int("format", EXPORT_FORMAT_VERSION, EXPORT_FORMAT_VERSION)
    rows = fields.take_list("entries", bounds.MAX_ENTRIES)
    fields.finish()
    entries = tuple(map(parse_entry, rows))
    if len({entry.name for entry in entries}) != len(entries):
        raise CatalogueError("entry_repeated", "two entries have the same name")
    return entries


def _make_changes(
    current: Catalogue,
    entries: tuple[Entry, ...],
    remove_others: bool,
    expected: int,
) -> tuple[Change, ...]:
    desired: dict[str, Entry | None] = {e.name: e for e in entries}
    if remove_others:
        for name in current.entries:
            desired.setdefault(name, None)
    return tuple(
        Change(name, after, make_change_id(), expected)
        for name, after in desired.items()
        if current.entries.get(name) != after
    )
