"""The ``daemon`` command: one node on the operators' platform."""

import asyncio
import gc
import os
import signal
import sys

import click

from kumquatwalk.cli.exit_codes import ExitCode

__all__ = ["daemon"]

# Allocations before a collection, by generation. A request leaves hardly any
# cycles behind, and a collection holds up all requests in progress.
GC_THRESHOLDS = (20000, 20, 20)


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
    """Run a node beside a target until SIGTERM or SIGINT."""
    # Imported here so that other commands do not wait for them.
    # pylint: disable=import-outside-toplevel
    import uvloop

    from kumquatwalk.exception import SettingError
    from kumquatwalk.logs import close_logs
    from kumquatwalk.logs import start_logs
    from kumquatwalk.logs.level import Level
    from kumquatwalk.platform.settings import load_settings

    try:
        settings = load_settings(settings_path)
    except SettingError as error:
        click.echo(f"error: {settings_path}: {error}", err=True)
        sys.exit(ExitCode.CONFIGURATION)
    start_logs(sys.stdout, Level[log_level.upper()], settings.node_id)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        uvloop.run(_run(settings, settings_path))
    except OSError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(ExitCode.FAILED)
    finally:
        close_logs()


async def _run(settings, settings_path: str) -> None:
    # pylint: disable=import-outside-toplevel
    from kumquatwalk.daemon.process import Daemon
    from kumquatwalk.daemon.settings_watcher import SettingsWatcher

    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    process = Daemon(settings)
    watcher = SettingsWatcher(settings_path, settings, process.apply_settings)
    if hasattr(signal, "SIGHUP"):
        loop.add_signal_handler(signal.SIGHUP, watcher.check)
    await process.start()
    watcher.start()
    await stopping.wait()
    await process.drain()
    watcher.close()
    await process.close()
    # Nothing is left to flush: the process must not outlast its grace period.
    sys.stdout.flush()
    os._exit(ExitCode.OK)
