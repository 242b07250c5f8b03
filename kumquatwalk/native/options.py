"""Command line options of the ``node`` command, one for each setting."""

import functools
import os
from collections.abc import Callable

import click

from kumquatwalk.cli.exit_codes import ExitCode
from kumquatwalk.exception import SettingError
from kumquatwalk.native.settings import NodeSettings
from kumquatwalk.native.settings_check import check_settings
from kumquatwalk.native.settings_check import find_unknown_variables
from kumquatwalk.native.settings_check import suggest_variable
from kumquatwalk.native.settings_kinds import SwitchKind
from kumquatwalk.native.settings_kinds import describe_range
from kumquatwalk.native.settings_spec import SETTING_SPECS
from kumquatwalk.native.settings_spec import SettingSpec

__all__ = ["node_options"]


def node_options(function: Callable[[NodeSettings], None]) -> Callable:
    """Add an option for each setting of a node to a click command.

    Environment variables with the prefix of the settings that no command reads
    are warned about. An invalid setting ends the process with
    ``ExitCode.CONFIGURATION`` before the function is called.

    Args:
        function: Body of the command, called with the checked settings.

    Returns:
        Function to be decorated with ``click.command``.

    Example:
        >>> @click.command()
        ... @node_options
        ... def node(settings: NodeSettings) -> None:
        ...     print(settings.zone)
    """

    @functools.wraps(function)
    def run(**texts: str | None) -> None:
        _warn_about_unknown_variables()
        function(_check_or_exit(texts))

    for spec in reversed(SETTING_SPECS):
        run = _make_option(spec)(run)
    return run


def _make_option(spec: SettingSpec) -> Callable[[Callable], Callable]:
    is_switch = isinstance(spec.kind, SwitchKind)
    return click.option(
        spec.flag,
        spec.name,
        is_flag=False,
        envvar=spec.variable,
        allow_from_autoenv=False,
        show_envvar=True,
        default=spec.default,
        show_default=bool(spec.default),
        metavar="VALUE",
        flag_value="true" if is_switch else None,
        help=f"{spec.help_text} Allowed: {describe_range(spec.kind)}.",
    )


def _check_or_exit(texts: dict[str, str | None]) -> NodeSettings:
    try:
        return check_settings(texts)
    except SettingError as error:
        click.echo(f"error: {error}", err=True)
        raise click.exceptions.Exit(ExitCode.CONFIGURATION) from error


def _warn_about_unknown_variables() -> None:
    for name in find_unknown_variables(os.environ):
        suggestion = suggest_variable(name)
        hint = f"; did you mean {suggestion}?" if suggestion else ""
        click.echo(f"warning: unknown variable {name}{hint}", err=True)
