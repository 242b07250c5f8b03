"""The ``members`` command."""

import dataclasses

import click

from kumquatwalk.cli.errors import exit_on_error
from kumquatwalk.cli.member_row import MemberRow
from kumquatwalk.cli.member_row import MemberTable
from kumquatwalk.cli.member_row import parse_member_table
from kumquatwalk.cli.node_client import node_option
from kumquatwalk.cli.node_client import parse_node_address
from kumquatwalk.cli.node_client import get_from_node
from kumquatwalk.cli.output import print_json
from kumquatwalk.cli.output import print_table

__all__ = ["members"]

_PATH = "/kumquatwalk/members"
_HEADINGS = (
    "NODE",
    "ZONE",
    "HOST",
    "STATE",
    "SERVICE",
    "TARGET",
    "SLOTS",
    "REVISION",
)


@click.command()
@node_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@exit_on_error
def members(node: str, as_json: bool) -> None:
    """Show the members of the fleet in the view of one node."""
    table = parse_member_table(get_from_node(parse_node_address(node), _PATH))
    if as_json:
        print_json(dataclasses.asdict(table))
    else:
        _print_members(table)


def _print_members(table: MemberTable) -> None:
    click.echo(
        f"{len(table.rows)} members as seen by {table.node_id}"
        f" in zone {table.zone}"
    )
    print_table(_HEADINGS, [_make_cells(row) for row in table.rows])


def _make_cells(row: MemberRow) -> tuple[object, ...]:
    return (
        row.node_id,
        row.zone,
        row.host,
        row.state,
        row.service,
        row.target_state,
        row.slots,
        row.catalogue_revision,
    )
