"""The ``catalogue status`` command."""

import dataclasses
import json

import click
import urllib3

from kumquatwalk.cli.catalogue_options import add_platform_options
from kumquatwalk.cli.catalogue_options import make_store
from kumquatwalk.cli.catalogue_text import format_table
from kumquatwalk.cli.command_error import convert_errors
from kumquatwalk.cli.node_status import NodeStatus
from kumquatwalk.cli.node_status import merge_views
from kumquatwalk.cli.node_view import NodeView
from kumquatwalk.cli.node_view import parse_view
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.exception import MembershipError
from kumquatwalk.exception import PlatformError

__all__ = ["show_status"]

MEMBERS_PATH = "/kumquatwalk/members"
MAX_ANSWER_BYTES = 4_000_000
_TITLES = ("NODE", "ZONE", "REVISION", "REACH", "IN_FORCE")
_IN_FORCE = {True: "yes", False: "no", None: "unknown"}


@click.command("status")
@click.option(
    "--node",
    "nodes",
    multiple=True,
    metavar="HOST:PORT",
    envvar="KUMQUATWALK_NODES",
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
    views = tuple(_ask(address, timeout_s) for address in nodes)
    statuses = merge_views(views, revision)
    if as_json:
        _print_json(revision, views, statuses)
    else:
        _print_text(revision, views, statuses)
    if error is not None:
        raise error


def _ask(address: str, timeout_s: float) -> NodeView:
    try:
        return parse_view(address, _fetch(address, timeout_s))
    except KumquatwalkError as error:
        return NodeView(address, (), error.code)


def _fetch(address: str, timeout_s: float) -> bytes:
    try:
        with urllib3.PoolManager(retries=False) as manager:
            answer = manager.request(
                "GET",
                f"http://{address}{MEMBERS_PATH}",
                timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
                preload_content=False,
            )
            body = answer.read(MAX_ANSWER_BYTES + 1)
            answer.close()
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise MembershipError("node_unreachable", address) from error
    if answer.status != 200 or len(body) > MAX_ANSWER_BYTES:
        raise MembershipError("members_malformed", address)
    return body


def _print_json(
    revision: int | None,
    views: tuple[NodeView, ...],
    statuses: tuple[NodeStatus, ...],
) -> None:
    document = {
        "platform_revision": revision,
        "nodes": [dataclasses.asdict(status) for status in statuses],
        "asked": [{"address": v.address, "error": v.error} for v in views],
    }
    click.echo(json.dumps(document))


def _print_text(
    revision: int | None,
    views: tuple[NodeView, ...],
    statuses: tuple[NodeStatus, ...],
) -> None:
    shown = "unknown" if revision is None else revision
    click.echo(f"platform revision: {shown}")
    for view in views:
        if view.error:
            click.echo(f"no answer from {view.address}: {view.error}")
    ahead = [
        s for s in statuses if revision is not None and s.revision > revision
    ]
    if ahead:
        highest = max(status.revision for status in ahead)
        click.echo(
            f"warning: nodes run revision {highest}, which the platform lost;"
            " they keep it until the platform has a higher one"
        )
    if statuses:
        click.echo(format_table([_TITLES, *map(_make_row, statuses)]))


def _make_row(status: NodeStatus) -> tuple[str, ...]:
    return (
        status.node_id,
        status.zone,
        str(status.revision),
        status.reach,
        _IN_FORCE[status.is_current],
    )
