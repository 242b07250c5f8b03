"""Exit codes and output of errors that end a command."""

import functools
from collections.abc import Callable

import click

from kumquatwalk.cli.exit_codes import ExitCode
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import EditConflictError
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.exception import SettingError

__all__ = ["NodeUnreachableError", "get_exit_code", "exit_on_error"]


class NodeUnreachableError(KumquatwalkError):
    """The node that a command queried did not respond."""


@functools.singledispatch
def get_exit_code(_error: KumquatwalkError) -> ExitCode:
    """Return the exit code for an error; ``FAILED`` for types without one."""
    return ExitCode.FAILED


@get_exit_code.register
def _(_error: SettingError) -> ExitCode:
    return ExitCode.USAGE


@get_exit_code.register
def _(_error: CatalogueError) -> ExitCode:
    return ExitCode.REFUSED


@get_exit_code.register(CompareFailedError)
@get_exit_code.register(EditConflictError)
def _(_error: KumquatwalkError) -> ExitCode:
    return ExitCode.CONFLICT


@get_exit_code.register(PlatformReadError)
@get_exit_code.register(PlatformUnavailableError)
@get_exit_code.register(NodeUnreachableError)
def _(_error: KumquatwalkError) -> ExitCode:
    return ExitCode.UNAVAILABLE


@get_exit_code.register
def _(_error: OutcomeUnknownError) -> ExitCode:
    return ExitCode.UNKNOWN_OUTCOME


def exit_on_error(function: Callable[..., None]) -> Callable[..., None]:
    """Print errors of the package to standard error and exit with their code.

    Args:
        function: Callback of a command.

    Returns:
        The wrapped callback, to be decorated with ``click.command``.
    """

    @functools.wraps(function)
    def run(*args, **kwargs) -> None:
        try:
            function(*args, **kwargs)
        except KumquatwalkError as error:
            click.echo(f"error: {error}", err=True)
            raise click.exceptions.Exit(get_exit_code(error)) from error

    return run
