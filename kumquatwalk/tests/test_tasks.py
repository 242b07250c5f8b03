"""Tests of tasks that go on after unexpected errors."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk import tasks


class KeepRunningTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.starts = 0
        patch = mock.patch.object(tasks, "RESTART_DELAY_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    async def _fail_twice(self):
        self.starts += 1
        if self.starts < 3:
            raise KeyError("a message that nobody expected")

    async def test_work_begins_again_after_errors(self):
        await tasks.keep_running(self._fail_twice, "work")
        self.assertEqual(self.starts, 3)

    async def test_work_that_has_returned_is_done(self):
        self.starts = 5
        await tasks.keep_running(self._fail_twice, "work")
        self.assertEqual(self.starts, 6)

    async def test_cancelling_ends_the_work(self):
        async def fail_always():
            self.starts += 1
            raise KeyError("again")

        task = tasks.keep_running(fail_always, "work")
        while self.starts < 5:
            await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == "__main__":
    unittest.main()
