"""Tests of the check whether a target still listens."""

import asyncio
import unittest

from kumquatwalk.http1.encoder import encode_request
from kumquatwalk.http1.response_match import match_any
from kumquatwalk.standin.scripted_target import Script
from kumquatwalk.standin.scripted_target import ScriptedTarget
from kumquatwalk.targets.client import TargetClient

REQUEST = encode_request(b"GET", b"/x", ((b"Host", b"h"),), b"")


class ListeningTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.target = ScriptedTarget("t", lambda _: Script(work_s=30.0))
        await self.target.start()
        self.addAsyncCleanup(self.target.close)
        self.client = TargetClient(self.target.address)

    async def start_runs(self, count: int) -> list[asyncio.Task]:
        """Start exchanges that do not end by themselves."""
        tasks = [
            asyncio.create_task(
                self.client.exchange(REQUEST, False, True, match_any)
            )
            for _ in range(count)
        ]
        while len(self.target.runs) < count:
            await asyncio.sleep(0.005)
        for task in tasks:
            self.addCleanup(task.cancel)
        return tasks

    # Guards against a slot being held, and a connection opened, for each answer
    # that a target loses.
    async def test_run_in_progress_shows_it_without_a_connection(self):
        await self.start_runs(2)
        self.assertTrue(await self.client.is_listening())
        self.assertEqual(self.target.connections_accepted, 2)

    async def test_connection_is_tried_where_no_other_is_open(self):
        self.assertTrue(await self.client.is_listening())
        self.assertEqual(self.target.connections_accepted, 1)

    async def test_crash_is_seen_by_all_runs_with_one_check(self):
        tasks = await self.start_runs(3)
        self.target.crash()
        await asyncio.wait(tasks)
        checks = [self.client.is_listening() for _ in tasks]
        self.assertEqual(await asyncio.gather(*checks), [False] * 3)


if __name__ == "__main__":
    unittest.main()
