"""Settings with which a daemon starts."""

import contextlib
import signal
import time

import click

from kumquatwalk.cli.exit_codes import ExitCode
from kumquatwalk.cli.held_signals import has_come
from kumquatwalk.cli.process_end import end_process
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.exception import SettingError
from kumquatwalk.platform.settings import load_settings

__all__ = ["wait_for_settings"]

# Time for which a file that is missing or not valid is read again, in seconds:
# the platform may still be writing it.
SETTINGS_WAIT_S = 10.0
_POLL_S = 0.05


def wait_for_settings(path: str) -> DaemonSettings:
    """Return the settings once the file is valid.

    Exits with code 78 if it is not within ``SETTINGS_WAIT_S``, and with code 0
    if a signal that asks to stop has come meanwhile. Reports each new problem
    on standard error.

    Args:
        path: Path of the settings file.
    """
    give_up_at = read_now() + SETTINGS_WAIT_S
    reported = ""
    while True:
        is_last = read_now() >= give_up_at
        try:
            return load_settings(path)
        except SettingError as error:
            problem = str(error)
        if problem != reported:
            # Standard error may have no reader, or a full disk.
            with contextlib.suppress(OSError):
                click.echo(f"error: {path}: {problem}", err=True)
            reported = problem
        if has_come(signal.SIGTERM) or has_come(signal.SIGINT):
            end_process(ExitCode.OK)
        if is_last:
            end_process(ExitCode.CONFIGURATION)
        time.sleep(_POLL_S)
