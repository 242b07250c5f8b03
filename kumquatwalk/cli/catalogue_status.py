"""The ``catalogue status`` command."""

import dataclasses
from collections.abc import Sequence

import click

from kumquatwalk.cli.catalogue_options import add_platform_options
from kumquatwalk.cli.catalogue_options import make_store
from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.member_query import MemberQueryResult
from kumquatwalk.cli.member_query import query_members
from kumquatwalk.cli.node_status import NodeStatus
from kumquatwalk.cli.node_status import merge_tables
from kumquatwalk.cli.output import print_json
from kumquatwalk.cli.output import print_table
from kumquatwalk.exception import PlatformError

__all__ = ["show_status"]

_HEADINGS = ("NODE", "ZONE", "REVISION", "REACH", "IN_FORCE")
_IN_FORCE_CELLS = {True: "yes", False: "no", None: "unknown"}


@click.command("status")
@click.option(
    "--node",
    "nodes",
    multiple=True,
    metavar="HOST:PORT",
    envvar="KUMQUATWALK_NODES",
    show_envvar=True,
    help="Local listener of a node to query; repeatable, best one per zone.",
)
@add_platform_options
@convert_errors
def show_status(nodes, platform, timeout_s, as_json) -> None:
    """Compare the catalogue revision of each node with the platform's.

    A node is "cut_off" if some of the queried nodes see it alive and others do
    not; if none does, it is "left" if one of them saw it leave and "unknown"
    otherwise. Its revision is the highest one reported.
    The exit status is 5 if the platform's revision could not be read.
    """
    revision, error = None, None
    try:
        revision = make_store(platform, timeout_s).load().catalogue.revision
    except PlatformError as caught:
        error = caught
    results = [query_members(address) for address in nodes]
    tables = [result.table for result in results if result.table is not None]
    statuses = merge_tables(tables, revision)
    if as_json:
        _print_json(revision, results, statuses)
    else:
        _print_text(revision, results, statuses)
    if error is not None:
        raise error


def _print_json(
    revision: int | None,
    results: Sequence[MemberQueryResult],
    statuses: Sequence[NodeStatus],
) -> None:
    asked = [{"address": r.address, "error": r.error} for r in results]
    nodes = [dataclasses.asdict(status) for status in statuses]
    print_json({"platform_revision": revision, "asked": asked, "nodes": nodes})


def _print_text(
    revision: int | None,
    results: Sequence[MemberQueryResult],
    statuses: Sequence[NodeStatus],
) -> None:
    shown = "unknown" if revision is None else revision
    click.echo(f"platform revision: {shown}")
    for result in results:
        if result.error:
            click.echo(
                f"no usable answer from {result.address}: {result.error}"
            )
    highest = max((status.revision for status in statuses), default=0)
    if revision is not None and highest > revision:
        click.echo(
            f"warning: nodes run revision {highest}, which the platform lost;"
            " they keep it until the platform has a higher one"
        )
    print_table(_HEADINGS, map(_make_cells, statuses))


def _make_cells(status: NodeStatus) -> tuple[object, ...]:
    return (
        status.node_id,
        status.zone,
        status.revision,
        status.reach,
        _IN_FORCE_CELLS[status.is_current],
    )
