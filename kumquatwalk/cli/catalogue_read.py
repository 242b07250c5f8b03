"""Commands that read the catalogue."""

import json

import click

from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.entry_codec import make_entry_document
from kumquatwalk.catalogue.reachability import list_reachable
from kumquatwalk.catalogue.record_codec import make_record_document
from kumquatwalk.cli.catalogue_options import add_platform_options
from kumquatwalk.cli.catalogue_options import make_store
from kumquatwalk.cli.catalogue_text import format_entry
from kumquatwalk.cli.catalogue_text import format_record
from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.output import print_json
from kumquatwalk.cli.output import print_table
from kumquatwalk.exception import CatalogueError

__all__ = ["export_entries", "list_entries", "show_entry", "show_history"]

MAX_HISTORY_RECORDS = 10_000
EXPORT_FORMAT_VERSION = 1
_HEADINGS = (
    "NAME",
    "OWNER",
    "SERVICE",
    "IMPORTANCE",
    "IDEMPOTENT",
    "IN_FLIGHT",
    "RATE_PER_S",
    "RETRIES",
    "TIME_MS",
    "CALLS",
)


@click.command("list")
@click.option(
    "--owner", envvar="KUMQUATWALK_OWNER", help="Only entries of this team."
)
@add_platform_options
@convert_errors
def list_entries(owner, platform, timeout_s, as_json) -> None:
    """List the entries, sorted by name."""
    catalogue = make_store(platform, timeout_s).load().catalogue
    entries = sorted(catalogue.entries.values(), key=lambda e: e.name)
    entries = [e for e in entries if owner in (None, e.owner)]
    if as_json:
        documents = [make_entry_document(entry) for entry in entries]
        print_json({"revision": catalogue.revision, "entries": documents})
        return
    click.echo(f"revision {catalogue.revision}")
    print_table(_HEADINGS, map(_make_cells, entries))


@click.command("show")
@click.argument("name")
@add_platform_options
@convert_errors
def show_entry(name, platform, timeout_s, as_json) -> None:
    """Show one entry and the entries reachable from it through calls."""
    catalogue = make_store(platform, timeout_s).load().catalogue
    if name not in catalogue.entries:
        raise CatalogueError("entry_unknown", f"there is no entry {name!r}")
    entry = catalogue.entries[name]
    reachable = list_reachable(catalogue, name)
    if as_json:
        print_json(
            {
                "revision": catalogue.revision,
                "entry": make_entry_document(entry),
                "reachable": list(reachable),
            }
        )
        return
    click.echo(f"revision: {catalogue.revision}")
    click.echo(format_entry(entry))
    click.echo(f"reachable: {' '.join(reachable) or 'none'}")


@click.command("history")
@click.option(
    "--entry", envvar="KUMQUATWALK_ENTRY", help="Only changes of this entry."
)
@click.option(
    "--limit",
    type=click.IntRange(1, MAX_HISTORY_RECORDS),
    default=20,
    show_default=True,
    envvar="KUMQUATWALK_LIMIT",
    help="Number of latest changes to read, before --entry filters them.",
)
@add_platform_options
@convert_errors
def show_history(entry, limit, platform, timeout_s, as_json) -> None:
    """Show the latest changes, newest first."""
    records = make_store(platform, timeout_s).read_history(limit)
    records = [r for r in records if entry in (None, r.entry_name)]
    if as_json:
        documents = [make_record_document(record) for record in records]
        print_json({"records": documents})
        return
    click.echo("\n\n".join(map(format_record, records)))


@click.command("export")
@add_platform_options
@convert_errors
def export_entries(platform, timeout_s, as_json) -> None:
    """Print all entries as JSON, in the format that import reads."""
    del as_json
    catalogue = make_store(platform, timeout_s).load().catalogue
    entries = sorted(catalogue.entries.values(), key=lambda e: e.name)
    documents = [make_entry_document(entry) for entry in entries]
    document = {"format": EXPORT_FORMAT_VERSION, "entries": documents}
    click.echo(json.dumps(document, indent=2, ensure_ascii=False))


def _make_cells(entry: Entry) -> tuple[str, ...]:
    return (
        entry.name,
        entry.owner,
        entry.service,
        entry.importance.name.lower(),
        "yes" if entry.idempotent else "no",
        str(entry.limits.in_flight),
        f"{entry.limits.rate_per_s:g}",
        str(entry.limits.retries),
        str(entry.limits.time_ms),
        ",".join(entry.calls) or "-",
    )
