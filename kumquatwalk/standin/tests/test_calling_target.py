"""Tests of a target that makes calls through the node beside it."""

import asyncio
import pathlib
import random
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.standin.calling_target import CallingTarget
from kumquatwalk.standin.platform_node import PlatformNode
from kumquatwalk.standin.platform_node import make_body
from kumquatwalk.standin.scripted_target import Script
from kumquatwalk.standin.scripted_target import ScriptedTarget
from kumquatwalk.standin.target_client import TargetClient


class CallingTargetTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        # Takes the place of the node that the calls go through.
        self.outbound = ScriptedTarget("i-other", self.answer)
        await self.outbound.start()
        self.addAsyncCleanup(self.outbound.close)
        self.script = Script()
        self.node = PlatformNode(
            "n1",
            "payments",
            "z1",
            ScriptedTarget("i-n1"),
            {"outbound": self.outbound.address},
            pathlib.Path("n1.toml"),
            self.outbound.address,
            process=type("Process", (), {"pid": 7}),
        )
        self.attempts = []
        client = TargetClient(self.node, random.Random(1), self.attempts)
        self.addCleanup(client.close)
        self.target = CallingTarget(self.node, client, 1.0)

    def answer(self, request):
        """Return the behaviour of the node for a call."""
        attempt_id = request.find_header(b"attempt-id").decode()
        size = int(request.url.decode().split("/")[3])
        return Script(
            work_s=self.script.work_s,
            status=self.script.status,
            body=make_body(attempt_id, size),
        )

    async def run_request(self, limit_ms=2000):
        """Return the answer to a request that makes two calls."""
        headers = (
            (b"Attempt-Id", b"a1"),
            (b"Deadline-Ms", b"%d" % limit_ms),
        )
        request = HttpRequest(
            b"POST", b"/fee/10/50", headers, b"", True, read_now()
        )
        return await self.target.choose_script(request).perform()

    async def test_calls_are_made_one_after_the_other_on_one_connection(self):
        script = await self.run_request()
        self.assertEqual((script.status, len(script.body)), (200, 50))
        self.assertEqual([a.status for a in self.attempts], [200, 200])
        self.assertTrue(all(a.has_seal and a.has_body for a in self.attempts))
        self.assertEqual(self.outbound.connections_accepted, 1)
        self.assertEqual(self.attempts[0].pid, 7)

    async def test_failed_call_fails_the_request(self):
        self.script = Script(status=503)
        script = await self.run_request()
        self.assertEqual(script.status, 500)
        self.assertEqual([a.status for a in self.attempts], [503])

    async def test_calls_expire_at_the_limit_of_the_request(self):
        self.script = Script(work_s=30.0)
        script = await self.run_request(limit_ms=200)
        self.assertEqual(script.status, 504)
        self.assertEqual(len(self.attempts), 1)
        self.assertIn(self.attempts[0].error, ("limit", "left"))
        self.assertLess(self.attempts[0].limit_s, 0.21)

    async def test_call_of_a_run_that_is_cancelled_is_left(self):
        self.script = Script(work_s=30.0)
        task = asyncio.create_task(self.run_request())
        while not self.outbound.runs:
            await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.attempts[0].error, "left")
        self.assertEqual(self.node.target.load[0], 0)


if __name__ == "__main__":
    unittest.main()
