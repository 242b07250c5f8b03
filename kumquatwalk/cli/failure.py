"""Exit codes and messages of errors that end a command."""

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

__all__ = ["NodeUnreachableError", "choose_exit_code", "exit_on_error"]


class NodeUnreachableError(KumquatwalkError):
    """The node that a command asked did not answer."""


@functools.singledispatch
def choose_exit_code(_error: KumquatwalkError) -> ExitCode:
    """Return the exit code for an error.

    Args:
        _error: Error that ends the command.
    """
    return ExitCode.FAILED


@choose_exit_code.register
def _(_error: SettingError) -> ExitCode:
    return ExitCode.USAGE


@choose_exit_code.register
def _(_error: CatalogueError) -> ExitCode:
    return ExitCode.REFUSED


@choose_exit_code.register(CompareFailedError)
@choose_exit_code.register(EditConflictError)
def _(_error: KumquatwalkError) -> ExitCode:
    return ExitCode.CONFLICT


@choose_exit_code.register(PlatformReadError)
@choose_exit_code.register(PlatformUnavailableError)
@choose_exit_code.register(NodeUnreachableError)
def _(_error: KumquatwalkError) -> ExitCode:
    return ExitCode.UNAVAILABLE


@choose_exit_code.register
def _(_error: OutcomeUnknownError) -> ExitCode:
    return ExitCode.UNKNOWN_OUTCOME


def exit_on_error(function: Callable[..., None]) -> Callable[..., None]:
    """Make a command print errors of the package and end with their code.

    Args:
        function: Body of a command.

    Returns:
        Function to be decorated with ``click.command``.
    """

    @functools.wraps(function)
    def run(*args, **kwargs) -> None:
        try:
            function(*args, **kwargs)
        except KumquatwalkError as error:
            click.echo(f"error: {error}", err=True)
            raise click.exceptions.Exit(choose_exit_code(error)) from error

    return run
