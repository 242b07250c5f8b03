"""Tests of the lock under which suspect requests run one at a time."""

import asyncio
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.timed_lock import acquire_until


class TimedLockTest(unittest.IsolatedAsyncioTestCase):

    # Guards against 504 for a suspect request that waits for another one until
    # its deadline and never runs.
    async def test_wait_ends_at_the_deadline(self):
        lock = asyncio.Lock()
        self.assertTrue(await acquire_until(lock, read_now() - 1.0))
        self.assertFalse(await acquire_until(lock, read_now() + 0.05))
        lock.release()
        self.assertTrue(await acquire_until(lock, read_now() + 0.05))

    # Guards against a wait without bound for a lock that has been released and
    # that a waiter before gets.
    async def test_wait_for_a_lock_on_its_way_to_another_is_bounded(self):
        lock = asyncio.Lock()
        await lock.acquire()
        other = asyncio.create_task(lock.acquire())
        await asyncio.sleep(0)
        lock.release()
        async with asyncio.timeout(1.0):
            self.assertFalse(await acquire_until(lock, read_now() + 0.05))
        self.assertTrue(await other)


if __name__ == "__main__":
    unittest.main()
