"""Test of the calls of a node whose links pause, as its memory is short."""

import asyncio
import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

LARGE_BYTES = 20_000_000
LIMIT_BYTES = 2_000_000
REQUESTS = 10


def _choose_script(request) -> Script:
    is_large = request.url.startswith(b"/pay-pay/large")
    return Script(body=bytes(LARGE_BYTES) if is_large else b"answer")


class PausedLinkTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "pay")))
        self.addAsyncCleanup(self.fleet.close)
        for name in ("web-1", "pay-1"):
            node = await self.fleet.add_node(name, name[:3])
            node.target.choose_script = _choose_script
        await self.fleet.wait_until_ready()

    # Guards against LOST: requests that run behind a large reply, for which
    # their callers' node has no memory, end without an answer.
    async def test_requests_behind_a_paused_reply_are_refused_not_run(self):
        core = self.fleet.nodes["web-1"].daemon.core
        core.answer_budget.limit = LIMIT_BYTES
        core.body_budget.limit = LIMIT_BYTES
        large = asyncio.create_task(
            self.fleet.call("web-1", "/pay-pay/large", "large", 20_000, b"POST")
        )
        async with asyncio.timeout(20):
            while not core.memory.is_short():
                await asyncio.sleep(0.01)
        statuses = []
        for number in range(REQUESTS):
            attempt_id = f"small-{number}"
            answer = await self.fleet.call(
                "web-1", "/pay-pay/", attempt_id, 1000, b"POST"
            )
            statuses.append(answer.status)
            if answer.status == 503:
                runs = self.fleet.nodes["pay-1"].target.count_runs(attempt_id)
                self.assertFalse(runs)
        self.assertGreater(statuses.count(503), REQUESTS // 2, statuses)
        core.answer_budget.limit = core.body_budget.limit = 10 * LARGE_BYTES
        answer = await large
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(answer.body), LARGE_BYTES)
        after = await self.fleet.call(
            "web-1", "/pay-pay/", "after", 2000, b"POST", b"fee"
        )
        self.assertEqual(after.status, 200)


if __name__ == "__main__":
    unittest.main()
