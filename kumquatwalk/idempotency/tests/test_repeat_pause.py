"""Tests of repeats whose run ends while the own process is not scheduled."""

import asyncio
import socket
import time
import unittest

from kumquatwalk.idempotency import PendingRun

# Time limit of a repeat, and the pause across it, in seconds.
TIMEOUT_S = 0.1
PAUSE_S = 0.2


class RepeatPauseTest(unittest.IsolatedAsyncioTestCase):

    # Guards against LOST: the answer of the run that a repeat awaits came while
    # this process was not scheduled, and the repeat timed out before it was
    # read.
    async def test_answer_that_comes_in_a_pause_is_used(self):
        loop = asyncio.get_running_loop()
        run = PendingRun()
        here, there = socket.socketpair()
        with here, there:
            here.setblocking(False)
            loop.add_reader(here, run.resolve, "answer")
            waiting = asyncio.create_task(run.wait(TIMEOUT_S))
            await asyncio.sleep(0)
            there.send(b"1")
            time.sleep(PAUSE_S)
            answer = await waiting
            loop.remove_reader(here)
        self.assertEqual(answer, "answer")

    async def test_repeat_times_out(self):
        self.assertIsNone(await PendingRun().wait(TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
