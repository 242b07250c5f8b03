"""The ``daemon`` command: a node with the platform's interface."""

import asyncio
import faulthandler
import signal
import sys

import click

from kumquatwalk.cli.held_signals import has_come
from kumquatwalk.cli.held_signals import hold_signals
from kumquatwalk.cli.standard_streams import open_standard_streams
from kumquatwalk.cli.unused_signals import UNUSED_SIGNALS

__all__ = ["daemon"]


@click.command()
@click.option(
    "--settings",
    "settings_path",
    envvar="KUMQUATWALK_CONFIG",
    required=True,
    help="Settings file that the platform writes.",
)
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
)
def daemon(settings_path: str, log_level: str) -> None:
    """Run a node beside a target until SIGTERM or SIGINT.

    SIGHUP reloads the settings file.
    """
    hold_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGINT, *UNUSED_SIGNALS)
    open_standard_streams()
    # An end by a fault of an extension module leaves no other line.
    faulthandler.enable()
    # Deferred so that these imports do not slow down other commands.
    # pylint: disable=import-outside-toplevel
    from kumquatwalk.cli.daemon_run import run_daemon
    from kumquatwalk.cli.first_settings import wait_for_settings
    from kumquatwalk.composition import make_daemon
    from kumquatwalk.daemon.settings_watcher import SettingsWatcher
    from kumquatwalk.logs import start_logs
    from kumquatwalk.logs.bounded_writer import BoundedWriter
    from kumquatwalk.logs.level import Level

    settings = wait_for_settings(settings_path)
    start_logs(
        BoundedWriter(sys.stdout.fileno()),
        Level[log_level.upper()],
        settings.node_id,
    )

    def watch_settings(process) -> None:
        watcher = SettingsWatcher(
            settings_path, settings, process.apply_settings
        )
        process.check_settings = watcher.check
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, watcher.check)
        watcher.start()
        if has_come(signal.SIGHUP):
            watcher.check()

    run_daemon(lambda: make_daemon(settings), watch_settings)
