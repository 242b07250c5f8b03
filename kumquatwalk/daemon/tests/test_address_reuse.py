"""Tests of targets whose address goes to a process of another service."""

import asyncio
import unittest

from kumquatwalk.daemon.target_prober import PROBE_INTERVAL_S
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config

CALLS = 20
# Two intervals of probes and some time for calls.
WATCH_S = 2.0 * PROBE_INTERVAL_S + 0.6
TIMEOUT_S = 10.0


class AddressReuseTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "shop")))
        self.addAsyncCleanup(self.fleet.close)
        self.node = await self.fleet.add_node("web-1", "web")
        await self.fleet.add_node("web-2", "web")
        await self.fleet.add_node("shop-1", "shop")
        await self.fleet.wait_until_ready()
        self.target = self.node.target

    async def replace_target(self, target_id: str) -> None:
        """Start another process at the address of the target."""
        self.target.crash()
        await self.target.restart(target_id)
        self.target.runs.clear()

    async def call(self) -> None:
        """Send calls to the service from another node."""
        calls = [
            self.fleet.call("shop-1", f"/web/{n}", f"call-{n}")
            for n in range(CALLS)
        ]
        await asyncio.gather(*calls)

    async def check_it_gets_nothing(self) -> None:
        """Check that the process at the address runs no call for a while."""
        loop = asyncio.get_running_loop()
        until = loop.time() + WATCH_S
        while loop.time() < until:
            await self.call()
            await asyncio.sleep(0.1)
        self.assertEqual(self.target.runs, [])

    async def wait_for_run(self) -> None:
        """Wait until the process at the address has run a call."""
        async with asyncio.timeout(TIMEOUT_S):
            while not self.target.runs:
                await self.call()

    # Guards against ROUTE: the process answered the health check, was taken for
    # the target, and was named as the one that may run the calls.
    async def test_process_of_another_service_gets_no_calls(self):
        await self.replace_target("i-other")
        await self.check_it_gets_nothing()

    async def test_it_gets_none_after_its_own_reports_either(self):
        await self.replace_target("i-other")
        answer = await self.fleet.send_heartbeat(
            "web-1", service="shop", born=2000
        )
        self.assertEqual(answer.status, 200)
        await self.check_it_gets_nothing()

    async def test_it_gets_none_after_a_restart_of_the_node(self):
        await self.replace_target("i-other")
        await self.fleet.restart_daemon("web-1")
        await self.check_it_gets_nothing()

    async def test_it_gets_none_while_it_leaves(self):
        await self.replace_target("i-other")
        await self.fleet.restart_daemon("web-1")
        await self.fleet.send_departure("web-1")
        await self.check_it_gets_nothing()

    async def test_new_target_of_the_service_is_used_after_its_report(self):
        await self.replace_target("i-new")
        await self.call()
        await self.fleet.send_heartbeat("web-1", born=2000)
        await self.wait_for_run()

    async def test_target_that_names_another_service_is_not_used_further(self):
        await self.call()
        await self.fleet.send_heartbeat("web-1", service="shop")
        await asyncio.sleep(0.1)
        self.target.runs.clear()
        await self.check_it_gets_nothing()

    # Guards against calls that are refused after a restart of a node until the
    # next report of its target.
    async def test_restarted_node_learns_its_target_from_peers(self):
        for _ in range(2):
            await self.fleet.restart_daemon("web-1")
            self.target.runs.clear()
            await self.wait_for_run()

    async def test_restarted_node_does_not_trust_peers_for_another_service(
        self,
    ):
        side = self.node.daemon.core.target_side
        key = side.get_status().target_key
        await self.fleet.restart_daemon("web-1")
        side = self.node.daemon.core.target_side
        side.recall_target(key + 1, "web")
        side.recall_target(key, "shop")
        side.handle_probe("i-other", 8, 0.0)
        self.assertNotIn("i-other", side.record.known)


if __name__ == "__main__":
    unittest.main()
