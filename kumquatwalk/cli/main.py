"""Entry point of the ``kumquatwalk`` program."""

import click

from kumquatwalk.cli.lazy import LazyGroup

__all__ = ["main"]

_COMMANDS = {
    "catalogue": "kumquatwalk.cli.catalogue:catalogue",
    "daemon": "kumquatwalk.cli.daemon:daemon",
    "members": "kumquatwalk.cli.members:members",
    "metrics": "kumquatwalk.cli.metrics:metrics",
    "node": "kumquatwalk.cli.node:node",
    "standin": "kumquatwalk.cli.standin:standin",
    "version": "kumquatwalk.cli.version:version",
}


@click.group(
    cls=LazyGroup,
    lazy_commands=_COMMANDS,
    context_settings={"auto_envvar_prefix": "KUMQUATWALK"},
)
def main() -> None:
    """Overload control layer for service call graphs."""
