"""The ``standin`` command group: fakes for tests and the demo."""

import click

from kumquatwalk.cli.lazy_group import LazyGroup

__all__ = ["standin"]

_COMMANDS = {
    "platform": "kumquatwalk.cli.standin_platform:platform",
    "target": "kumquatwalk.cli.standin_target:target",
}


@click.group(cls=LazyGroup, lazy_commands=_COMMANDS)
def standin() -> None:
    """Run a stand-in for the platform's store or for a target."""
