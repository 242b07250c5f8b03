"""Tests of what is answered at the deadline of a request."""

import unittest

from kumquatwalk import codes
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.tests.test_caller_side import DONE
from kumquatwalk.daemon.tests.test_caller_side import CallerSideCase
from kumquatwalk.mesh.message import Reply
from kumquatwalk.outcome import Outcome


class DeadlineRefusalTest(CallerSideCase):

    # Guards against 504 for a request that a target's queue refused a moment
    # after its deadline, or whose deadline had passed before any attempt.
    async def test_request_that_no_target_ran_by_its_deadline_is_not_run(self):
        refused = Reply(
            Outcome.NOT_RUN, codes.DEADLINE_EXCEEDED, retry_after_s=0.7
        )
        for delay_s, script in ((0.15, [refused, DONE]), (0.0, [DONE])):
            self.reply_delay_s = delay_s
            reply = await self._call(
                script, False, tokens=None, timeout_s=0.1 if delay_s else 0.0
            )
            self.assertIs(reply.outcome, Outcome.NOT_RUN)
            self.assertGreater(reply.retry_after_s, 0.0)
            self.assertEqual(len(self.peers.calls), int(delay_s > 0.0))

    # Guards against 504 for a request that waits for a link at its deadline.
    async def test_request_that_awaits_a_link_at_its_deadline_is_not_run(self):
        self.targets = 0
        reply = await self._call([], False, tokens=None, timeout_s=0.1)
        self.assertIs(reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(reply.code, codes.DEADLINE_EXCEEDED)

    # Guards against "not run" for a call that may run, and against an answer
    # that comes long after the deadline.
    async def test_call_without_a_reply_at_its_deadline_is_unknown(self):
        began_at = read_now()
        reply = await self._call([None], False, tokens=None, timeout_s=0.1)
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(reply.code, codes.DEADLINE_EXCEEDED)
        self.assertLess(read_now() - began_at, 0.1 + 0.5)


if __name__ == "__main__":
    unittest.main()
