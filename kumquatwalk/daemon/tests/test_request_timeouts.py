"""Tests of the timeouts of requests in progress."""

import asyncio
import socket
import time
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.request_timeouts import RequestTimeouts

TIMEOUT_S = 0.1
PAUSE_S = 0.2
# Longer than any test runs, in seconds.
HANG_S = 30.0


class RequestTimeoutsTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.timeouts = RequestTimeouts()
        here, self.there = socket.socketpair()
        self.addCleanup(self.there.close)
        self.reader, writer = await asyncio.open_connection(sock=here)
        self.addCleanup(writer.close)

    async def _read(self, deadline: float) -> bytes:
        timeout = self.timeouts.open(deadline)
        try:
            async with timeout:
                return await self.reader.readexactly(1)
        finally:
            self.timeouts.close(timeout)

    async def _begin(self, valid_s: float) -> asyncio.Task:
        task = asyncio.create_task(self._read(read_now() + valid_s))
        await asyncio.sleep(0)
        return task

    # Guards against LOST: a reply that had come while the process did not run
    # was dropped, as the timeout had passed when it was read.
    async def test_what_came_in_a_pause_is_read_first(self):
        task = await self._begin(TIMEOUT_S)
        self.there.send(b"x")
        time.sleep(PAUSE_S)
        self.assertEqual(await task, b"x")

    # Guards against LOST: the same at the end of a stop.
    async def test_what_came_before_the_end_of_a_stop_is_read_first(self):
        task = await self._begin(HANG_S)
        self.timeouts.set_end(read_now() + TIMEOUT_S)
        self.there.send(b"x")
        time.sleep(PAUSE_S)
        self.assertEqual(await task, b"x")

    async def test_request_times_out_at_its_deadline(self):
        deadline = read_now() + TIMEOUT_S
        with self.assertRaises(TimeoutError):
            await self._read(deadline)
        self.assertGreaterEqual(read_now(), deadline)

    async def test_end_of_a_stop_brings_timeouts_forward(self):
        task = await self._begin(HANG_S)
        self.timeouts.set_end(read_now())
        with self.assertRaises(TimeoutError):
            await task
        with self.assertRaises(TimeoutError):
            await self._read(read_now() + HANG_S)

    async def test_end_of_a_stop_keeps_a_timeout_whose_time_has_come(self):
        task = await self._begin(0.0)
        await asyncio.sleep(0)
        self.timeouts.set_end(read_now())
        with self.assertRaises(TimeoutError):
            await task

    async def test_later_end_than_before_changes_nothing(self):
        task = await self._begin(HANG_S)
        self.timeouts.set_end(read_now() + TIMEOUT_S)
        self.timeouts.set_end(read_now() + HANG_S)
        with self.assertRaises(TimeoutError):
            await task

    async def test_closed_timeout_ends_nothing(self):
        self.there.send(b"x")
        self.assertEqual(await self._read(read_now() + TIMEOUT_S), b"x")
        await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    unittest.main()
