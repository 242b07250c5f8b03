"""Tests of calls of a node at its own target that are hedged."""

import asyncio
import unittest

from kumquatwalk.daemon.own_calls import OwnCalls
from kumquatwalk.mesh.message import Reply
from kumquatwalk.mesh.tests.test_link_silence import make_call
from kumquatwalk.outcome import Outcome

HANG_S = 20.0
DONE = Reply(Outcome.DONE, status=200)


class OwnCallsTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.own_calls = OwnCalls()
        self.call = make_call()
        self.answer = asyncio.get_running_loop().create_future()
        self.serving = asyncio.create_task(
            self.own_calls.serve(self.call, self._run())
        )
        # Until the run awaits its answer.
        for _ in range(5):
            await asyncio.sleep(0)

    async def _run(self) -> Reply:
        return await self.answer

    async def test_hedged_run_goes_on_and_its_reply_is_found(self):
        self.assertTrue(self.own_calls.hedge(self.call))
        self.assertIs((await self.serving).outcome, Outcome.UNKNOWN)
        late = self.own_calls.find_late_reply(self.call)
        self.answer.set_result(DONE)
        async with asyncio.timeout(HANG_S):
            self.assertEqual(await late, DONE)

    # Guards against GONE: a run went on for nobody when its caller left in the
    # turn of the event loop in which the run was hedged.
    async def test_run_ends_with_a_caller_that_leaves_as_it_is_hedged(self):
        self.own_calls.hedge(self.call)
        self.serving.cancel()
        await asyncio.wait([self.serving], timeout=HANG_S)
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertTrue(self.answer.cancelled())
        self.assertIsNone(self.own_calls.find_late_reply(self.call))


if __name__ == "__main__":
    unittest.main()
