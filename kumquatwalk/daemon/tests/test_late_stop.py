"""Tests of a stop that begins later than its signal came."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.clock import read_now
from kumquatwalk.daemon.process import ANSWER_MARGIN_S
from kumquatwalk.daemon.tests.stop_case import StopCase
from kumquatwalk.standin.scripted_target import Script

GRACE_S = 2.0
LATE_S = 1.0


class LateStopTest(StopCase):

    # Guards against LOST: the end of a stop was counted from its beginning, so
    # that SIGKILL came first after a pause of the process.
    async def test_end_of_the_stop_is_counted_from_the_signal(self):
        node = await self.fleet.add_node("web-1", "web", grace_s=GRACE_S)
        node.target.choose_script = lambda _: Script(work_s=6.0)
        await self.fleet.wait_until_ready()
        call = asyncio.create_task(
            self.fleet.call("web-1", "/web-pay/", "running", 8000, b"POST")
        )
        async with asyncio.timeout(20):
            while not node.target.count_runs("running"):
                await asyncio.sleep(0.01)
        core = node.daemon.core
        signalled_at = read_now() - LATE_S
        with mock.patch.object(core, "set_end", wraps=core.set_end) as set_end:
            await node.daemon.drain(signalled_at)
        self.assertEqual(
            set_end.call_args_list[0].args[0],
            signalled_at + GRACE_S - ANSWER_MARGIN_S,
        )
        self.assertEqual((await call).status, 502)


if __name__ == "__main__":
    unittest.main()
