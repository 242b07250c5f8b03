"""Signals that ask the process to stop, with the time of the first."""

import asyncio
import signal

from kumquatwalk.cli.held_signals import has_come
from kumquatwalk.cli.pause_log import PauseLog
from kumquatwalk.clock import read_now
from kumquatwalk.event_loop import handle_pending_events

__all__ = ["StopRequest"]

# Interval between two records of the process's time, in seconds; well below the
# shortest pause.
_RECORD_INTERVAL_S = 0.1
# Turns of the event loop in which signals that came in a pause are handled.
_TURNS = 3
_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopRequest:
    """Waits for SIGTERM or SIGINT on the running event loop.

    Signals that came before count too, see ``hold_signals``.

    Attributes:
        came_at: Earliest time at which the first signal may have come, in
            seconds; 0 before it.
    """

    def __init__(self):
        self._pauses = PauseLog(read_now())
        self._event = asyncio.Event()
        self.came_at = 0.0
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self._handle_signal)
            if has_come(number):
                self._handle_signal()
        self._record()

    @property
    def is_made(self) -> bool:
        """Whether a signal has come."""
        return self._event.is_set()

    async def has_come_so_far(self) -> bool:
        """Return whether a signal has come, handled or not.

        If none has, one that is handled later has come after this.
        """
        await handle_pending_events()
        self._pauses = PauseLog(read_now())
        return self.is_made

    async def wait(self) -> None:
        """Wait until a signal has come."""
        await self._event.wait()

    def _handle_signal(self) -> None:
        if not self.is_made:
            self.came_at = self._pauses.find_earliest(read_now())
            self._event.set()

    def _record(self) -> None:
        if not self.is_made:
            self._pauses.record(read_now())
            if self._pauses.has_pause:
                self._end_pause(_TURNS)
            loop = asyncio.get_running_loop()
            loop.call_later(_RECORD_INTERVAL_S, self._record)

    def _end_pause(self, turns: int) -> None:
        """End the pause after some turns of the event loop."""
        if turns:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._end_pause, turns - 1)
        else:
            self._pauses.end_pause()
