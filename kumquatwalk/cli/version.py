"""The ``version`` command."""

import platform

import click

from kumquatwalk import __version__
from kumquatwalk.cli.output import print_json

__all__ = ["version"]


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def version(as_json: bool) -> None:
    """Show the version of the program."""
    python = platform.python_version()
    if as_json:
        print_json({"version": __version__, "python": python})
    else:
        click.echo(f"kumquatwalk {__version__} (Python {python})")
