"""The ``status`` command."""

import json

import click

from kumquatwalk.cli.errors import exit_on_error
from kumquatwalk.cli.node_client import node_option
from kumquatwalk.cli.node_client import parse_node_address
from kumquatwalk.cli.node_client import get_from_node
from kumquatwalk.cli.output import print_json
from kumquatwalk.cli.output import print_table
from kumquatwalk.exception import KumquatwalkError

__all__ = ["status"]

_PATH = "/kumquatwalk/status"


@click.command()
@node_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@exit_on_error
def status(node: str, as_json: bool) -> None:
    """Show the state of one node."""
    body = get_from_node(parse_node_address(node), _PATH)
    try:
        document = json.loads(body)
        targets = document.pop("targets")
        rows = [*document.items()]
        rows += [(f"targets of {s}", n) for s, n in sorted(targets.items())]
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise KumquatwalkError(
            "answer_malformed", f"malformed response of the node: {error!r}"
        ) from error
    if as_json:
        print_json(document | {"targets": targets})
    else:
        print_table(("WHAT", "VALUE"), rows)
