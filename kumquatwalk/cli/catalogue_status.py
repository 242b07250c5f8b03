"""The ``catalogue status`` command."""

import dataclasses
from collections.abc import Sequence

import click

from kumquatwalk.cli.catalogue_options import add_platform_options
from kumquatwalk.cli.catalogue_options import make_store
from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.node_answer import NodeAnswer
from kumquatwalk.cli.node_answer import ask_node
from kumquatwalk.cli.node_status import NodeStatus
from kumquatwalk.cli.node_status import merge_tables
from kumquatwalk.cli.output import print_json
from kumquatwalk.cli.output import print_table
from kumquatwalk.exception import PlatformError

__all__ = ["show_status"]

_HEADINGS = ("NODE", "ZONE", "REVISION", "REACH", "IN_FORCE")
_IN_FORCE = {True: "yes", False: "no", None: "unknown"}


@click.command("status")
@click.option(
    "--node",
    "nodes",
    multiple=True,
    metavar="HOST:PORT",
    envvar="KUMQUATWALK_NODES",
    show_envvar=True,
    help="Local listener of a node to ask; repeat it, one a zone is best.",
)
@add_platform_options
@convert_errors
def show_status(nodes, platform, timeout_s, as_json) -> None:
    """Show which revision each node runs, beside the platform's.

    A node is "cut_off" when some of the asked nodes see it and others do not,
    and "unknown" when none sees it; its revision is the last one heard of.
    The exit status is 5 when the platform's revision could not be read.
    """
    revision, error = None, None
    try:
        revision = make_store(platform, timeout_s).load().catalogue.revision
    except PlatformError as caught:
        error = caught
    answers = [ask_node(address) for address in nodes]
    tables = [answer.table for answer in answers if answer.table is not None]
    statuses = merge_tables(tables, revision)
    if as_json:
        _print_json(revision, answers, statuses)
    else:
        _print_text(revision, answers, statuses)
    if error is not None:
        raise error


def _print_json(
    revision: int | None,
    answers: Sequence[NodeAnswer],
    statuses: Sequence[NodeStatus],
) -> None:
    asked = [{"address": a.address, "error": a.error} for a in answers]
    nodes = [dataclasses.asdict(status) for status in statuses]
    print_json({"platform_revision": revision, "asked": asked, "nodes": nodes})


def _print_text(
    revision: int | None,
    answers: Sequence[NodeAnswer],
    statuses: Sequence[NodeStatus],
) -> None:
    shown = "unknown" if revision is None else revision
    click.echo(f"platform revision: {shown}")
    for answer in answers:
        if answer.error:
            click.echo(f"no answer from {answer.address}: {answer.error}")
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
        _IN_FORCE[status.is_current],
    )
