"""Tests of the ends of processes that a soak counts."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from kumquatwalk.soak.platform_soak import PlatformSoak
from kumquatwalk.soak.process_ends import ProcessEnd
from kumquatwalk.soak.process_ends import judge_end
from kumquatwalk.standin.platform_fleet import PlatformFleet

STOPPED = "stopped_with_status"
BY_ITSELF = "ended_by_itself"


class EndTest(unittest.TestCase):

    # Guards against FAULT that no soak counted: a process that ended with a
    # status of its own, or by a signal of another, after SIGTERM.
    def test_ends_that_nobody_asked_for_break_a_rule(self):
        cases = (
            (0, True, False, None),
            (0, False, False, BY_ITSELF),
            (0, False, True, BY_ITSELF),
            (1, True, False, STOPPED),
            (1, True, True, STOPPED),
            (1, False, False, BY_ITSELF),
            (1, False, True, BY_ITSELF),
            (-signal.SIGTERM, True, False, STOPPED),
            (-signal.SIGHUP, False, False, BY_ITSELF),
            (-signal.SIGKILL, True, False, STOPPED),
            (-signal.SIGKILL, True, True, None),
            (-signal.SIGKILL, False, True, None),
            (-signal.SIGKILL, False, False, BY_ITSELF),
        )
        for status, is_stopped, is_killed, rule in cases:
            end = ProcessEnd("n1", 1, 10.0, 10.5, status, is_stopped, is_killed)
            with self.subTest(end=end):
                violation = judge_end(end)
                self.assertEqual(violation and violation.rule, rule)


class SoakEndTest(unittest.IsolatedAsyncioTestCase):

    # Guards against FAULT that no soak counted: a process that ended in the
    # fleet's first start, before the soak looked.
    async def test_process_that_ends_at_its_first_start_is_counted(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        folder = pathlib.Path(directory.name)
        fleet = PlatformFleet(folder)
        soak = PlatformSoak(1, fleet, 2, folder)
        start_daemon = fleet.start_daemon

        def fail_once(node) -> None:
            start_daemon(node)
            if node.name == "n1" and node.starts == 1:
                node.process.kill()
                node.process.wait()
                code = "raise SystemExit(3)"
                node.process = subprocess.Popen([sys.executable, "-c", code])

        soak.make_callers = lambda: []
        soak.make_plan = lambda _: ((), ())
        with mock.patch.object(fleet, "start_daemon", fail_once):
            async with asyncio.timeout(60.0):
                result = await soak.run(0.0)
        rules = [violation.rule for violation in result.violations]
        self.assertEqual(rules, [BY_ITSELF])
        record = (folder / "record.jsonl").read_text(encoding="utf-8")
        self.assertIn('"status": 3', record)


class UncaughtSignalTest(unittest.IsolatedAsyncioTestCase):

    # Guards against FAULT that no soak counts: a process that never catches a
    # signal never got it.
    @mock.patch("kumquatwalk.soak.platform_soak.CATCH_WAIT_S", 0.1)
    async def test_signal_is_sent_to_a_process_that_does_not_catch_it(self):
        fleet = mock.Mock()
        fleet.stop_daemon = mock.AsyncMock()
        node = mock.Mock(pid=1, is_running=True)
        node.catches.return_value = False
        soak = PlatformSoak(1, fleet, 1, pathlib.Path())
        # pylint: disable=protected-access
        async with asyncio.timeout(5.0):
            await soak._reload(node)
            await soak._stop_once_caught(node)
        fleet.change_settings.assert_called_once_with(node)
        fleet.stop_daemon.assert_called_once_with(node)


if __name__ == "__main__":
    unittest.main()
