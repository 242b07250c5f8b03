"""Group of commands whose modules are imported on first use."""

import importlib

import click

__all__ = ["LazyGroup"]


class LazyGroup(click.Group):
    """Click group that imports a command's module on first use.

    Args:
        lazy_commands: Location of each command as ``module:attribute``, by the
            name of the command.
    """

    def __init__(self, *args, lazy_commands: dict[str, str], **kwargs):
        super().__init__(*args, **kwargs)
        self._lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted([*super().list_commands(ctx), *self._lazy_commands])

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return the command with a name; None if there is none."""
        if cmd_name not in self._lazy_commands:
            return super().get_command(ctx, cmd_name)
        module_name, attribute = self._lazy_commands[cmd_name].split(":")
        module = importlib.import_module(module_name)
        return getattr(module, attribute)
