"""Notices changes of the settings file, with or without a signal."""

import asyncio
import os
from collections.abc import Callable

from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.exception import SettingError
from kumquatwalk.logs import log_event
from kumquatwalk.logs.level import Level
from kumquatwalk.platform.settings import load_settings
from kumquatwalk.tasks import start_task

__all__ = ["SettingsWatcher"]

# Time between looks at the file, in seconds; half of the two seconds in which
# changes must be in force.
CHECK_INTERVAL_S = 1.0


class SettingsWatcher:
    """Reads the file again when it changes; a bad one changes nothing.

    Args:
        path: Path of the file.
        settings: Settings in force.
        on_change: Called with new settings.
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
        self._seen = self._read_mark()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to look at the file."""
        self._task = start_task(self._run(), "settings_watcher")

    def close(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()

    def check(self) -> None:
        """Read the file now."""
        self._seen = self._read_mark()
        try:
            settings = load_settings(self._path)
        except SettingError as error:
            log_event(
                "settings_rejected",
                Level.ERROR,
                code=error.code,
                error=error.message,
            )
            return
        if settings != self._settings:
            self._settings = settings
            self._on_change(settings)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_mark() != self._seen:
                self.check()

    def _read_mark(self) -> tuple[int, int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0, 0)  # being replaced: read once it is there again
        return (status.st_mtime_ns, status.st_ino, status.st_size)
