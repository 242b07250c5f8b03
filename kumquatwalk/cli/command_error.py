"""Failure of a command, with its exit status."""

import functools
import json
from collections.abc import Callable

import click

from kumquatwalk.cli.failure import choose_exit_code
from kumquatwalk.exception import KumquatwalkError

__all__ = ["CommandError", "convert_errors"]


class CommandError(click.ClickException):
    """Failure of a command; shown on the standard error stream.

    Args:
        error: Error that made the command fail.
        as_json: Whether to show it as a JSON object.
    """

    def __init__(self, error: KumquatwalkError, as_json: bool):
        super().__init__(str(error))
        self._error = error
        self._as_json = as_json
        self.exit_code = choose_exit_code(error)

    def show(self, file=None) -> None:
        """Print the error."""
        text = f"error: {self.message}"
        if self._as_json:
            code, message = self._error.code, self._error.message
            text = json.dumps({"error": {"code": code, "message": message}})
        click.echo(text, file=file, err=file is None)


def convert_errors(command: Callable) -> Callable:
    """Turn the package's errors into failures with their exit status.

    Args:
        command: Callback of a command that takes ``as_json``.

    Returns:
        The callback, wrapped.
    """

    @functools.wraps(command)
    def run(*args, as_json: bool, **kwargs):
        try:
            return command(*args, as_json=as_json, **kwargs)
        except KumquatwalkError as error:
            raise CommandError(error, as_json) from error

    return run
