"""Tests of stops in which the process's own code fails."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.daemon.target_prober import TargetProber
from kumquatwalk.daemon.tests.stop_case import StopCase
from kumquatwalk.http1.server import HttpServer
from kumquatwalk.standin.scripted_target import Script

# Time that a request takes, in seconds; longer than callers are accepted.
WORK_S = 3.0
POLL_S = 0.02


def fail(*_args) -> None:
    """Fail as code does that meets what nobody expected."""
    raise OSError("injected")


class ErrorAtStopTest(StopCase):

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.node = await self.fleet.add_node("web-1", "web", grace_s=6.0)
        self.node.target.choose_script = lambda _: Script(work_s=WORK_S)
        await self.fleet.wait_until_ready()

    def break_method(self, owner: object, name: str) -> None:
        """Let a method fail until the test has ended."""
        patch = mock.patch.object(owner, name, fail)
        patch.start()
        self.addCleanup(patch.stop)

    # Guards against FAULT and LOST: an error in the stop ended the process with
    # the requests in progress.
    async def test_error_in_a_drain_does_not_end_it(self):
        core = self.node.daemon.core
        call = asyncio.create_task(
            self.fleet.call("web-1", "/web-pay/", "a", 8000, b"POST")
        )
        while not core.target_side.limiter.running:
            await asyncio.sleep(POLL_S)
        self.break_method(core.state_publisher, "publish_status")
        self.break_method(core.target_side, "hedge_runs")
        self.break_method(core, "set_end")
        await self.node.daemon.drain()
        self.assertTrue(call.done())
        self.assertEqual((await call).status, 200)

    # Guards against LOST: the number of requests in progress could not be told,
    # and the stop ended before they had.
    async def test_drain_waits_for_its_end_if_it_cannot_tell_what_is_owed(self):
        core = self.node.daemon.core
        call = asyncio.create_task(
            self.fleet.call("web-1", "/web-pay/", "a", 8000, b"POST")
        )
        while not core.target_side.limiter.running:
            await asyncio.sleep(POLL_S)
        self.break_method(core.target_side, "count_owed")
        await self.node.daemon.drain()
        self.assertTrue(call.done())
        self.assertEqual((await call).status, 200)

    # Guards against LOST: an error in the close of one component left links
    # open, whose last replies were cut off by the end of the process.
    async def test_error_in_a_close_does_not_keep_others_from_closing(self):
        core = self.node.daemon.core
        with (
            mock.patch.object(HttpServer, "close", fail),
            mock.patch.object(TargetProber, "close", fail),
            mock.patch.object(core.peers, "close", fail),
            mock.patch.object(core.link_server, "close") as close_links,
            mock.patch.object(core.store, "close") as close_store,
        ):
            await self.node.daemon.close()
        close_links.assert_awaited_once()
        close_store.assert_called_once()


if __name__ == "__main__":
    unittest.main()
