"""Tests of waits for a link during which the own process is not scheduled."""

import asyncio
import time
import unittest

from kumquatwalk.daemon import caller_side
from kumquatwalk.daemon import peers
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config

# Time from the beginning of the wait to the pause, in seconds.
PAUSE_AFTER_S = 0.05
# Longer than the wait, and than a link may take to open.
PAUSE_S = max(caller_side.RELINK_TIMEOUT_S, peers.UNFIT_DELAY_S) + 0.1
# Time from the end of the pause to the attempt to open the link, in seconds.
LINK_AFTER_S = 0.1


class RelinkPauseTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "shop")))
        self.addAsyncCleanup(self.fleet.close)
        self.shop = await self.fleet.add_node("shop-1", "shop")
        self.web = await self.fleet.add_node("web-1", "web")
        await self.fleet.wait_until_ready()

    # Guards against requests refused as there is no link to their target, where
    # the process was not scheduled while the link was opened.
    async def test_wait_for_a_link_goes_on_after_a_pause(self):
        link = self.shop.daemon.core.peers.find("web-1")
        link.disconnect_for(PAUSE_AFTER_S + PAUSE_S + LINK_AFTER_S)
        while link.is_usable:
            await asyncio.sleep(0)
        call = asyncio.create_task(self.fleet.call("shop-1", "/web/a", "id"))
        await asyncio.sleep(PAUSE_AFTER_S)
        time.sleep(PAUSE_S)
        answer = await call
        self.assertEqual((answer.status, answer.body), (200, b"answer"))
        self.assertEqual(self.web.target.count_runs("id"), 1)


if __name__ == "__main__":
    unittest.main()
