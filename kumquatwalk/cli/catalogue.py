"""The ``catalogue`` command group."""

import click

from kumquatwalk.cli.lazy_group import LazyGroup

__all__ = ["catalogue"]

_READ_MODULE = "kumquatwalk.cli.catalogue_read"
_WRITE_MODULE = "kumquatwalk.cli.catalogue_write"
_COMMANDS = {
    "export": f"{_READ_MODULE}:export_entries",
    "history": f"{_READ_MODULE}:show_history",
    "import": "kumquatwalk.cli.catalogue_import:import_entries",
    "list": f"{_READ_MODULE}:list_entries",
    "remove": f"{_WRITE_MODULE}:remove_entry",
    "set": f"{_WRITE_MODULE}:set_entry",
    "show": f"{_READ_MODULE}:show_entry",
    "status": "kumquatwalk.cli.catalogue_status:show_status",
}


@click.group(cls=LazyGroup, lazy_commands=_COMMANDS)
def catalogue() -> None:
    """Read and edit the catalogue.

    An author is given as TEAM or TEAM/PERSON. Only the team that owns an entry
    may change or remove it, unless --as-admin is given; a new entry belongs to
    the owner that it names. The author is recorded but not verified: the
    platform does not authenticate operators, so anyone with write access to it
    can give any name. The history keeps the author, the reason and the change.

    \b
    Exit status:
      0  done
      1  the platform refused the request; nothing was changed
      2  wrong usage
      3  refused; nothing was changed
      4  conflict with another edit; nothing was changed
      5  the platform could not be reached or read; nothing was changed
      6  outcome unknown: the edit may have taken effect
    """
