"""Tests of waiting for replies on links that have gone silent."""

import asyncio
import unittest

from kumquatwalk.daemon.late_replies import has_good_reply
from kumquatwalk.daemon.late_replies import take_first_result
from kumquatwalk.daemon.late_replies import wait_for_late_reply
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome

UNKNOWN = Reply(Outcome.UNKNOWN, "link_failed")
REFUSED = Reply(Outcome.NOT_RUN, "queue_full")
DONE = Reply(Outcome.DONE, status=200)


class LateRepliesTest(unittest.IsolatedAsyncioTestCase):

    async def wait_for(self, *replies: Reply) -> Reply:
        """Return what is made of replies that have come."""
        futures = []
        for reply in replies:
            futures.append(asyncio.get_running_loop().create_future())
            futures[-1].set_result(reply)
        return await wait_for_late_reply(futures, UNKNOWN)

    async def test_result_of_a_run_counts(self):
        self.assertEqual(await self.wait_for(UNKNOWN, DONE), DONE)

    async def test_without_a_result_the_outcome_stays_unknown(self):
        self.assertEqual(await self.wait_for(UNKNOWN), UNKNOWN)

    # Guards against 502 for a request that has not run: its only attempt was
    # refused, and the refusal came late.
    async def test_late_refusal_of_the_only_attempt_is_a_refusal(self):
        self.assertEqual(await self.wait_for(REFUSED), REFUSED)

    async def test_refusal_does_not_hide_a_result_or_an_unknown_outcome(self):
        for other in (DONE, UNKNOWN):
            self.assertEqual(await self.wait_for(REFUSED, other), other)
            self.assertEqual(await self.wait_for(other, REFUSED), other)

    async def test_refusal_leaves_a_cancelled_reply_unknown(self):
        loop = asyncio.get_running_loop()
        refused, cancelled = loop.create_future(), loop.create_future()
        refused.set_result(REFUSED)
        cancelled.cancel()
        reply = await wait_for_late_reply([refused, cancelled], UNKNOWN)
        self.assertEqual(reply, UNKNOWN)

    async def take_first(self, attempt: Reply, late: Reply) -> Reply:
        """Return what is made of a late reply and of an attempt after it."""
        future = asyncio.get_running_loop().create_future()
        future.set_result(late)

        async def make_attempt():
            await asyncio.sleep(0.01)
            return attempt

        return await take_first_result(make_attempt(), [future])

    async def test_only_a_good_late_answer_ends_an_attempt(self):
        failed = Reply(Outcome.DONE, status=500)
        self.assertEqual(await self.take_first(REFUSED, DONE), DONE)
        for late in (UNKNOWN, REFUSED, failed):
            self.assertEqual(await self.take_first(DONE, late), DONE)

    # Guards against LOST: an error of this node in a run that was hedged ended
    # the other attempt, and its answer was lost.
    async def test_error_in_a_hedged_run_does_not_end_an_attempt(self):
        late = asyncio.get_running_loop().create_future()
        late.set_exception(RuntimeError("internal"))

        async def make_attempt():
            await asyncio.sleep(0.01)
            return DONE

        reply = await take_first_result(make_attempt(), [late])
        self.assertEqual(reply, DONE)
        self.assertEqual(await wait_for_late_reply([late], UNKNOWN), UNKNOWN)
        self.assertFalse(has_good_reply([late]))

    async def test_late_answer_says_nothing_of_the_target_of_the_attempt(self):
        late = Reply(Outcome.DONE, status=200, is_leaving=True)
        reply = await self.take_first(REFUSED, late)
        self.assertFalse(reply.is_leaving)


if __name__ == "__main__":
    unittest.main()
