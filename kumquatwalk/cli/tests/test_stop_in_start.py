"""Tests of stops that are asked for while a daemon is created."""

import asyncio
import signal
import time
import unittest

import uvloop

from kumquatwalk.cli.daemon_run import serve_until_stopped
from kumquatwalk.cli.stop_request import StopRequest
from kumquatwalk.clock import read_now

# Longer than what counts as a pause of the process, in seconds.
PAUSE_S = 0.3


class RecordingDaemon:
    """Daemon that records what is asked of it.

    Attributes:
        asked: Names of the methods called.
    """

    def __init__(self):
        self.asked: list[str] = []

    async def bind(self) -> None:
        """Do nothing, as all addresses can be had."""

    async def start(self) -> None:
        """Record the call."""
        self.asked.append("start")

    async def drain(self, signalled_at: float) -> None:
        """Record the call."""
        del signalled_at
        self.asked.append("drain")

    async def close(self) -> None:
        """Record the call."""
        self.asked.append("close")


class FailingDaemon(RecordingDaemon):
    """Daemon that fails once it has recorded what is asked of its stop."""

    async def drain(self, signalled_at: float) -> None:
        """Record the call and fail."""
        await super().drain(signalled_at)
        raise OSError("injected")

    async def close(self) -> None:
        """Record the call and fail."""
        await super().close()
        raise OSError("injected")


class StopInStartTest(unittest.TestCase):

    # Guards against LOST: a process that got SIGTERM while it was created began
    # to serve, counted its stop from long before the signal, and so broke off
    # runs of requests that it had taken meanwhile.
    def test_daemon_that_is_to_stop_while_it_is_created_is_not_started(self):
        for factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            daemon = RecordingDaemon()

            def make_daemon(daemon=daemon):
                time.sleep(PAUSE_S)
                signal.raise_signal(signal.SIGTERM)
                return daemon

            with asyncio.Runner(loop_factory=factory) as runner:
                runner.run(serve_until_stopped(make_daemon, lambda _: None))
            self.assertEqual(daemon.asked, [])

    # Guards against FAULT: an error in the process's own code, once it served
    # or in its stop, ended it before the rest of the stop.
    def test_errors_do_not_keep_a_stop_from_its_end(self):
        daemon = FailingDaemon()

        def stop_and_fail(_) -> None:
            signal.raise_signal(signal.SIGTERM)
            raise BrokenPipeError

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve_until_stopped(lambda: daemon, stop_and_fail))
        self.assertEqual(daemon.asked, ["start", "drain", "close"])

    # Guards against LOST: a stop that came after the start was counted from the
    # time in which the daemon was created.
    def test_signal_after_the_start_has_not_come_before(self):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            checked_at, came_at = runner.run(self._stop_after_a_check())
        self.assertGreaterEqual(came_at, checked_at)

    async def _stop_after_a_check(self) -> tuple[float, float]:
        stop = StopRequest()
        time.sleep(PAUSE_S)
        checked_at = read_now()
        self.assertFalse(await stop.has_come_so_far())
        signal.raise_signal(signal.SIGTERM)
        await stop.wait()
        return checked_at, stop.came_at


if __name__ == "__main__":
    unittest.main()
