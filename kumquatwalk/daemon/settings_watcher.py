"""Reloads the settings file when it changes."""

import asyncio
import os
from collections.abc import Callable

from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.exception import SettingError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.settings import UNREADABLE
from kumquatwalk.platform.settings import load_settings
from kumquatwalk.tasks import keep_running

__all__ = ["SettingsWatcher"]

# Interval at which the file is checked, in seconds: half of the two seconds
# within which an operator's change must be in force.
CHECK_INTERVAL_S = 1.0
# Time of change, inode and size of the file.
FileStamp = tuple[int, int, int]


class SettingsWatcher:
    """Polls the settings file and reports valid changes.

    An invalid file is logged, and the settings in force remain. One that cannot
    be read is read again at the next check.

    Args:
        path: Path of the file.
        settings: Settings in force.
        on_change: Called with the new settings after a change.
    """

    def __init__(
        self,
        path: str,
        settings: DaemonSettings,
        on_change: Callable[[DaemonSettings], None],
    ):
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._last_stamp: FileStamp | None = self._read_file_stamp()
        self._unreadable = ""
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to poll the file."""
        self._task = keep_running(self._run, "settings_watcher")

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    def check(self) -> None:
        """Reload the file now, whether it has changed or not."""
        self._last_stamp = self._read_file_stamp()
        try:
            settings = load_settings(self._path)
        except SettingError as error:
            if error.code == UNREADABLE:
                self._last_stamp = None
            self._report(error)
            return
        self._unreadable = ""
        if settings != self._settings:
            self._settings = settings
            self._on_change(settings)

    def _report(self, error: SettingError) -> None:
        # One report for a file that is read again and again.
        if error.code == UNREADABLE:
            if error.message == self._unreadable:
                return
            self._unreadable = error.message
        log_event(
            "settings_rejected",
            Level.ERROR,
            code=error.code,
            error=error.message,
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_file_stamp() != self._last_stamp:
                self.check()

    def _read_file_stamp(self) -> FileStamp:
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0, 0)  # being replaced; read once it exists again
        return (status.st_mtime_ns, status.st_ino, status.st_size)
