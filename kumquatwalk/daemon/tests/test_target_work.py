"""Tests of the work left that nodes publish of their targets."""

import asyncio
import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script


class TargetWorkTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "pay")))
        self.addAsyncCleanup(self.fleet.close)
        self.web = await self.fleet.add_node("web-1", "web")
        self.pay = await self.fleet.add_node("pay-1", "pay")
        await self.fleet.wait_until_ready()
        self.side = self.pay.daemon.core.target_side

    def report(self, figures: bytes, **changes):
        """Let the target report figures in its responses to runs."""
        header = b"Instance-Load: " + figures
        self.pay.target.choose_script = lambda _: Script(
            extra_headers=(header,), **changes
        )

    def find_view(self):
        """Return the view that the other node has of the target."""
        return self.web.daemon.core.peers.list_views("pay")[0]

    async def test_reply_and_status_publish_the_work_left(self):
        self.report(b"1,0,16,250", work_s=0.5)
        await self.fleet.call("web-1", "/pay/", "id-1")
        view = self.find_view()
        # It fades with the time that passes until the reply.
        self.assertGreater(view.slowness, 1.0)
        calls = [
            asyncio.create_task(self.fleet.call("web-1", "/pay/", f"c-{n}"))
            for n in range(3)
        ]
        async with asyncio.timeout(10):
            while self.side.limiter.running < 3:
                await asyncio.sleep(0.01)
        status = self.side.get_status()
        self.assertGreater(status.work_left_s, 0.0)
        self.assertGreater(status.slowness, 1.0)
        self.assertEqual(len(status.route_times), 1)
        await asyncio.gather(*calls)
        self.assertEqual(self.side.work.describe()["work_calls"], 0)
        self.assertEqual(self.side.get_status().work_left_s, 0.0)

    async def test_refusal_of_the_target_reports_its_slowness(self):
        self.report(b"16,0,16,250", status=503, was_not_run=True)
        await self.fleet.call("web-1", "/pay/", "id-1")
        self.assertTrue(self.side.work.is_reported)

    async def test_target_that_reports_three_figures_publishes_nothing(self):
        self.report(b"1,0,16")
        await self.fleet.call("web-1", "/pay/", "id-1")
        self.assertFalse(self.side.work.is_reported)
        self.assertEqual(self.side.get_load(), (0, 0))
        status = self.side.get_status()
        self.assertEqual((status.work_left_s, status.slowness), (0.0, 0.0))
        self.assertEqual(self.find_view().slowness, 0.0)
        self.assertEqual(self.side.work.describe(), {})


if __name__ == "__main__":
    unittest.main()
