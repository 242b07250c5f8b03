"""Entry point of the ``kumquatwalk`` program."""

import click

from kumquatwalk.cli.lazy_group import LazyGroup

__all__ = ["main"]

_COMMANDS = {
    "catalogue": "kumquatwalk.cli.catalogue:catalogue",
    "check-manifest": "kumquatwalk.cli.check:check_manifest",
    "check-settings": "kumquatwalk.cli.check:check_settings",
    "daemon": "kumquatwalk.cli.daemon:daemon",
    "explain": "kumquatwalk.cli.explain:explain",
    "members": "kumquatwalk.cli.members:members",
    "metrics": "kumquatwalk.cli.metrics:metrics",
    "node": "kumquatwalk.cli.node:node",
    "standin": "kumquatwalk.cli.standin:standin",
    "status": "kumquatwalk.cli.status:status",
    "version": "kumquatwalk.cli.version:version",
}


@click.group(
    cls=LazyGroup,
    lazy_commands=_COMMANDS,
    context_settings={"auto_envvar_prefix": "KUMQUATWALK"},
)
def main() -> None:
    """Overload control layer for service call graphs."""
