"""Tests of heartbeats that come late, at a node that has been restarted."""

import asyncio
import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config

CALLS = 20


class LateHeartbeatTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "shop")))
        self.addAsyncCleanup(self.fleet.close)
        self.node = await self.fleet.add_node("web-1", "web")
        await self.fleet.add_node("web-2", "web")
        await self.fleet.add_node("shop-1", "shop")
        await self.fleet.wait_until_ready()
        self.target = self.node.target

    async def _send_late(self, count: int = 1) -> None:
        for sequence in range(1, count + 1):
            await self.fleet.send_heartbeat("web-1", sequence=sequence)

    async def _wait_until_linked(self, caller: str) -> None:
        """Wait until a node knows what a restarted one says of its target."""
        peers = self.fleet.nodes[caller].daemon.core.peers
        incarnation = self.node.daemon.core.incarnation
        async with asyncio.timeout(10):
            while (
                peers.find("web-1").incarnation != incarnation
                or not peers.find("web-1").is_usable
            ):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)

    async def _call(self, caller: str) -> None:
        calls = [
            self.fleet.call(caller, f"/web/{n}", f"{caller}-{n}")
            for n in range(CALLS)
        ]
        for answer in await asyncio.gather(*calls):
            self.assertEqual(answer.status, 200)

    async def _check_it_gets_nothing(self) -> None:
        self.target.runs.clear()
        await self._wait_until_linked("shop-1")
        await self._call("shop-1")
        self.assertEqual(self.target.runs, [])

    async def _wait_for_run(self) -> None:
        async with asyncio.timeout(10):
            while not self.target.runs:
                await self._call("shop-1")

    # Guards against DRAIN: a target that had left got requests again because
    # its node was restarted and took a late heartbeat for the present.
    async def test_target_that_left_stays_out_when_its_node_restarts(self):
        answer = await self.fleet.send_departure("web-1")
        self.assertEqual(answer.status, 200)
        self.target.is_healthy = False
        await self.fleet.restart_daemon("web-1")
        await self._send_late()
        await self._check_it_gets_nothing()

    # Guards against the same for a target that says that it is draining.
    async def test_draining_target_stays_out_when_its_node_restarts(self):
        self.node.sequence = 10
        answer = await self.fleet.send_heartbeat("web-1", state="draining")
        self.assertEqual(answer.status, 200)
        self.target.is_healthy = False
        await self.fleet.restart_daemon("web-1")
        await self._send_late(3)
        await self._check_it_gets_nothing()

    async def test_callers_of_the_restarted_node_do_not_reach_it_either(self):
        await self.fleet.send_departure("web-1")
        self.target.is_healthy = False
        await self.fleet.restart_daemon("web-1")
        await self._send_late()
        self.target.runs.clear()
        async with asyncio.timeout(10):
            while self.node.daemon.core.peers.count_ready() < 2:
                await asyncio.sleep(0.01)
        await self._call("web-1")
        self.assertEqual(self.target.runs, [])

    # Guards against the same where the health check of the target is wrong: the
    # nodes that know of the departure remember it, and tell the restarted one.
    async def test_peers_remember_a_departure_when_the_health_check_is_wrong(
        self,
    ):
        await self.fleet.send_departure("web-1")
        await self.fleet.restart_daemon("web-1")
        await self._send_late()
        await self._check_it_gets_nothing()
        async with asyncio.timeout(10):
            while not self.node.daemon.core.target_side.record.is_leaving:
                await asyncio.sleep(0.01)
        await self._call("web-1")
        self.assertEqual(self.target.runs, [])
        # Another start under the same identifier is used again.
        await self.fleet.send_heartbeat("web-1", born=2000, sequence=1)
        await self._wait_for_run()

    async def test_sound_target_is_used_after_a_restart_without_heartbeat(self):
        await self.fleet.restart_daemon("web-1")
        self.target.runs.clear()
        await self._wait_for_run()

    # Guards against a target staying out for good because its node learnt of
    # the departure of an earlier start under the same identifier only.
    async def test_new_start_under_the_same_identifier_is_used(self):
        await self.fleet.restart_daemon("web-1")
        await self.fleet.send_departure("web-1")
        self.target.runs.clear()
        await self.fleet.send_heartbeat("web-1", born=2000, sequence=1)
        await self._wait_for_run()

    # Guards against DRAIN: after a report of another writer, in which fields
    # are missing, the reports of the target were acknowledged and ignored.
    async def test_target_leaves_after_a_report_of_another_writer(self):
        for changes in ({"version": None, "born": 0}, {"born": 0}):
            with self.subTest(changes=changes):
                await self.fleet.send_heartbeat("web-1", "other", **changes)
        await self._wait_for_run()
        answer = await self.fleet.send_heartbeat("web-1", state="draining")
        self.assertEqual(answer.status, 200)
        await self._check_it_gets_nothing()

    # Guards against a report that is ignored being acknowledged.
    async def test_outdated_report_that_the_target_leaves_is_refused(self):
        for born, status in ((500, 409), (1000, 200)):
            answer = await self.fleet.send_heartbeat(
                "web-1", state="draining", born=born
            )
            self.assertEqual(answer.status, status)


if __name__ == "__main__":
    unittest.main()
