"""Conversion of the package's errors to command failures."""

import functools
import json
from collections.abc import Callable

import click

from kumquatwalk.cli.errors import get_exit_code
from kumquatwalk.exception import KumquatwalkError

__all__ = ["CommandError", "convert_errors"]


class CommandError(click.ClickException):
    """Failure of a command, printed to standard error.

    The exit code follows from the type of the error.

    Args:
        error: Error that made the command fail.
        as_json: Whether to print a JSON object with its code and message.
    """

    def __init__(self, error: KumquatwalkError, as_json: bool):
        super().__init__(str(error))
        self._error = error
        self._as_json = as_json
        self.exit_code = get_exit_code(error)

    def show(self, file=None) -> None:
        """Print the error; click calls this."""
        text = f"error: {self.message}"
        if self._as_json:
            code, message = self._error.code, self._error.message
            text = json.dumps({"error": {"code": code, "message": message}})
        click.echo(text, file=file, err=file is None)


def convert_errors(command: Callable) -> Callable:
    """Convert errors of the package to `CommandError`, as text or JSON.

    Commands that always print errors as text use
    `kumquatwalk.cli.errors.exit_on_error` instead.

    Args:
        command: Callback of a command with the parameter ``as_json``.

    Returns:
        The wrapped callback.
    """

    @functools.wraps(command)
    def run(*args, as_json: bool, **kwargs):
        try:
            return command(*args, as_json=as_json, **kwargs)
        except KumquatwalkError as error:
            raise CommandError(error, as_json) from error

    return run
