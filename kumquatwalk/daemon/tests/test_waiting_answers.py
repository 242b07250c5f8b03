"""Test that answers wait for memory rather than get lost."""

import asyncio
import unittest

from kumquatwalk.clock import read_now
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

PAYMENTS = 6
ANSWER_BYTES = 3_000_000


class WaitingAnswersTest(unittest.IsolatedAsyncioTestCase):

    # Guards against LOST: payments that ran get 502 because the memory for
    # bodies does not take all their answers at once.
    async def test_payments_with_large_answers_are_all_answered(self):
        fleet = DaemonFleet()
        await fleet.start(make_config(("pay",), timeoutS=20.0))
        self.addAsyncCleanup(fleet.close)
        node = await fleet.add_node("pay-1", "pay")
        await fleet.wait_until_ready()
        # All runs end together, so that their answers are read together.
        end_at = read_now() + 1.5
        node.target.choose_script = lambda _: Script(
            work_s=max(0.0, end_at - read_now()), body=b"r" * ANSWER_BYTES
        )
        tasks = [
            asyncio.create_task(
                fleet.call("pay-1", "/pay-pay/", f"id-{n}", 20_000, b"POST")
            )
            for n in range(PAYMENTS)
        ]
        async with asyncio.timeout(20):
            while len(node.target.runs) < PAYMENTS:
                await asyncio.sleep(0.01)
        budget = node.daemon.core.body_budget
        budget.limit = 4_000_000
        answers = await asyncio.gather(*tasks)
        self.assertEqual([a.status for a in answers], [200] * PAYMENTS)
        self.assertEqual({len(a.body) for a in answers}, {ANSWER_BYTES})
        self.assertEqual(len(node.target.runs), PAYMENTS)
        self.assertEqual(budget.used, 0)


if __name__ == "__main__":
    unittest.main()
