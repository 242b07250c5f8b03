"""Tests of targets that say in their answers that they leave."""

import asyncio
import unittest

from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script
from kumquatwalk.targets.heartbeat import TargetState

LEAVING = Script(extra_headers=(b"Server-Leaving: 1",))


class LeavingTargetTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "shop")))
        self.addAsyncCleanup(self.fleet.close)
        self.leaving = await self.fleet.add_node("web-1", "web")
        self.staying = await self.fleet.add_node("web-2", "web")
        await self.fleet.add_node("shop-1", "shop")
        await self.fleet.wait_until_ready()
        self.leaving.target.choose_script = lambda _: LEAVING

    async def _call_until_told(self, script: Script = LEAVING) -> None:
        self.leaving.target.choose_script = lambda _: script
        async with asyncio.timeout(10):
            while not self.leaving.target.runs:
                await self.fleet.call("shop-1", "/web/a", "id")
        await asyncio.sleep(0.05)
        self.leaving.target.runs.clear()

    async def _call_often(self) -> set[int]:
        return {
            (await self.fleet.call(name, f"/web/{n}", f"{name}-{n}")).status
            for name in ("web-1", "shop-1")
            for n in range(10)
        }

    # Guards against DRAIN: a target that had said in an answer that it leaves
    # went on getting requests.
    async def test_target_gets_nothing_once_an_answer_said_that_it_leaves(self):
        await self._call_until_told()
        self.assertEqual(await self._call_often(), {200})
        self.assertEqual(self.leaving.target.runs, [])

    async def test_failed_answer_tells_it_too(self):
        headers = LEAVING.extra_headers
        await self._call_until_told(Script(status=500, extra_headers=headers))
        self.assertEqual(await self._call_often(), {200})
        self.assertEqual(self.leaving.target.runs, [])

    # Guards against a target being used again because the node beside it was
    # restarted and a late heartbeat of the target said that it was ready.
    async def test_caller_remembers_it_when_the_node_of_the_target_restarts(
        self,
    ):
        await self._call_until_told()
        await self.fleet.restart_daemon("web-1")
        async with asyncio.timeout(10):
            while not self._sees_state("shop-1", "web-1"):
                await self.fleet.send_heartbeat("web-1")
                await asyncio.sleep(0.05)
        for n in range(10):
            answer = await self.fleet.call("shop-1", f"/web/{n}", f"id-{n}")
            self.assertEqual(answer.status, 200)
        self.assertEqual(self.leaving.target.runs, [])

    async def test_another_start_of_the_target_is_used(self):
        await self._call_until_told()
        self.leaving.target.choose_script = lambda _: Script()
        await self.fleet.send_heartbeat("web-1", born=2000, sequence=1)
        async with asyncio.timeout(10):
            while not self.leaving.target.runs:
                await self.fleet.call("shop-1", "/web/b", "id")

    # Guards against another start of a slow target getting nothing: it was
    # judged by the run times of the start before, which only its runs change.
    async def test_another_start_is_not_judged_by_earlier_run_times(self):
        slow = Script(work_s=0.2, extra_headers=LEAVING.extra_headers)
        await self._call_until_told(slow)
        await self.fleet.call("shop-1", "/web/fast", "fast")
        async with asyncio.timeout(10):
            while not self._list_run_times("shop-1", "web-2"):
                await asyncio.sleep(0.01)
        self.leaving.target.choose_script = lambda _: Script()
        await self.fleet.send_heartbeat("web-1", born=2000, sequence=1)
        async with asyncio.timeout(10):
            while not self.leaving.target.runs:
                await self.fleet.call("shop-1", "/web/b", "id")

    # Guards against another start of a target that had failed getting few
    # requests and no retries, judged by the failures of the start before.
    async def test_another_start_is_not_judged_by_earlier_failures(self):
        headers = LEAVING.extra_headers
        await self._call_until_told(Script(status=500, extra_headers=headers))
        target_side = self.leaving.daemon.core.target_side
        self.assertGreater(target_side.get_status().failure_share, 0.0)
        await self.fleet.send_heartbeat("web-1", born=2000, sequence=1)
        self.assertEqual(target_side.get_status().failure_share, 0.0)

    def _list_run_times(self, caller: str, name: str) -> tuple:
        """Return the run times that a caller knows of a node's target."""
        peers = self.fleet.nodes[caller].daemon.core.peers
        return peers.find(name).view.status.route_times

    def _sees_state(self, caller: str, name: str) -> bool:
        """Return whether a caller knows what a restarted node says.

        That is that its target is ready, or leaves, as callers tell the node.
        """
        link = self.fleet.nodes[caller].daemon.core.peers.find(name)
        incarnation = self.fleet.nodes[name].daemon.core.incarnation
        return (
            link.is_usable
            and link.incarnation == incarnation
            and link.view.status.state is not TargetState.UNKNOWN
        )


if __name__ == "__main__":
    unittest.main()
