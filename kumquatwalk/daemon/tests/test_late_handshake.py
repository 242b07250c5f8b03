"""Tests of time limits on links whose first message was read late."""

import asyncio
import time
import unittest
from unittest import mock

from kumquatwalk.daemon.core import DaemonCore
from kumquatwalk.mesh.link_server import SECOND_STATUS_S
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script

LATE_S = 0.3
LIMIT_S = 2.0
# A run that ends before the limit, though less than LATE_S before it.
WORK_S = 1.8

_make_hello = DaemonCore.make_hello


def make_hello_read_late(core: DaemonCore, receiver: str = ""):
    """Return the first message, which no node reads for a time."""
    hello = _make_hello(core, receiver)
    asyncio.get_running_loop().call_soon(time.sleep, LATE_S)
    return hello


class LateHandshakeTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "pay"), timeoutS=LIMIT_S))
        self.addAsyncCleanup(self.fleet.close)
        with mock.patch.object(DaemonCore, "make_hello", make_hello_read_late):
            await self.fleet.add_node("web-1", "web")
            self.pay = await self.fleet.add_node("pay-1", "pay")
        self.pay.target.choose_script = lambda _: Script(work_s=WORK_S)
        await self.fleet.wait_until_ready()
        # The second status comes soon after the first message.
        await asyncio.sleep(4 * SECOND_STATUS_S)

    # Guards against LOST: a run was broken off before the limit of its request
    # because the link's first message had been read late.
    async def test_run_that_ends_within_the_limit_is_answered(self):
        answer = await self.fleet.call(
            "web-1", "/pay/", "id-1", int(LIMIT_S * 1000)
        )
        (run,) = self.pay.target.runs
        self.assertFalse(run.is_aborted)
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
