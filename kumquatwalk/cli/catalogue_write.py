"""Commands that change one entry of the catalogue."""

import click

from kumquatwalk.catalogue import bounds
from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.record_codec import make_record_document
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.cli.catalogue_options import add_edit_options
from kumquatwalk.cli.catalogue_options import add_platform_options
from kumquatwalk.cli.catalogue_options import make_change_id
from kumquatwalk.cli.catalogue_options import make_store
from kumquatwalk.cli.catalogue_text import format_difference
from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.edit_settings import EditSettings
from kumquatwalk.cli.edit_settings import pop_edit_settings
from kumquatwalk.cli.entry_fields import EntryFields
from kumquatwalk.cli.output import print_json

__all__ = ["remove_entry", "run_edit", "set_entry"]

_IMPORTANCES = [level.name.lower() for level in Importance]


@click.command("set")
@click.argument("name")
@click.option("--owner", help="Team that owns the entry.")
@click.option("--service", help="Service whose targets run the entry.")
@click.option("--importance", type=click.Choice(_IMPORTANCES))
@click.option("--idempotent/--not-idempotent", default=None)
@click.option(
    "--in-flight",
    type=click.IntRange(bounds.MIN_IN_FLIGHT, bounds.MAX_IN_FLIGHT),
    help="Maximum calls in flight at once, in the whole fleet.",
)
@click.option(
    "--rate",
    "rate_per_s",
    type=click.FloatRange(bounds.MIN_RATE_PER_S, bounds.MAX_RATE_PER_S),
    help="Maximum calls started per second, in the whole fleet.",
)
@click.option(
    "--retries",
    type=click.IntRange(0, bounds.MAX_RETRIES),
    help="Retry tokens of one request, for its whole call chain.",
)
@click.option(
    "--time-ms",
    type=click.IntRange(bounds.MIN_TIME_MS, bounds.MAX_TIME_MS),
    help="Maximum duration of one request, in milliseconds.",
)
@click.option(
    "--call",
    "calls",
    multiple=True,
    metavar="ENTRY",
    help="Entry that this one may call; repeat to give the whole list.",
)
@click.option(
    "--no-calls", is_flag=True, help="The entry calls no other entry."
)
@add_edit_options
@add_platform_options
@convert_errors
def set_entry(name, calls, no_calls, **options) -> None:
    """Add an entry, or change the given fields of an existing one."""
    settings = pop_edit_settings(options)
    if calls and no_calls:
        raise click.UsageError("--call and --no-calls are mutually exclusive")
    given_calls = calls if calls or no_calls else None
    fields = EntryFields(calls=given_calls, **options)
    store = make_store(settings.platform, settings.timeout_s)
    current = store.load().catalogue
    after = fields.merge(name, current.entries.get(name))
    expected = current.revision if settings.expect is None else settings.expect
    change = Change(name, after, make_change_id(), expected)
    run_edit(store, (change,), settings)


@click.command("remove")
@click.argument("name")
@add_edit_options
@add_platform_options
@convert_errors
def remove_entry(name, **options) -> None:
    """Remove an entry that no other entry calls."""
    settings = pop_edit_settings(options)
    store = make_store(settings.platform, settings.timeout_s)
    change = Change(name, None, make_change_id(), settings.expect)
    run_edit(store, (change,), settings)


def run_edit(
    store: CatalogueStore,
    changes: tuple[Change, ...],
    settings: EditSettings,
) -> None:
    """Write or preview an edit and print the changes.

    Args:
        store: Store to edit.
        changes: Changes to make atomically; at least one.
        settings: Author, reason, dry run and output format.

    Raises:
        CatalogueError: If a change breaks a rule or conflicts with another
            edit; nothing was changed.
        PlatformError: If the platform cannot be reached or refuses. The edit
            may have taken effect if it is an ``OutcomeUnknownError``.
    """
    edit = store.preview if settings.dry_run else store.edit
    records = edit(changes, settings.make_editor())
    if settings.as_json:
        documents = [make_record_document(record) for record in records]
        document = {
            "dry_run": settings.dry_run,
            "revision": records[-1].revision,
            "records": documents,
        }
        print_json(document)
        return
    for record in records:
        click.echo(format_difference(record))
    if settings.dry_run:
        click.echo("dry run: nothing was changed")
    else:
        click.echo(f"accepted as revision {records[-1].revision}")
