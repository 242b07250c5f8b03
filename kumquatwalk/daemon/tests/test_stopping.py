"""Tests of the graceful stop of a daemon under continuous load."""

import asyncio
import unittest

from kumquatwalk.exception import ExchangeError
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.scripted_target import Script


class StoppingTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        config = make_config(("web", "other"), timeoutS=3.0)
        await self.fleet.start(config)
        self.addAsyncCleanup(self.fleet.close)
        for name in ("web-1", "web-2"):
            node = await self.fleet.add_node(name, "web")
            node.target.choose_script = lambda _: Script(work_s=0.3)
        await self.fleet.wait_until_ready()
        self.outcomes: list[str] = []

    async def _call_repeatedly(self, index: int) -> None:
        for turn in range(1000):
            attempt_id = f"id-{index}-{turn}"
            try:
                answer = await self.fleet.call(
                    "web-1", "/web/", attempt_id, deadline_ms=3000
                )
                self.outcomes.append(str(answer.status))
            except ExchangeError as error:
                targets = [n.target for n in self.fleet.nodes.values()]
                if any(t.count_runs(attempt_id) for t in targets):
                    self.outcomes.append("cut")
                if not error.sent:
                    return

    async def test_callers_that_never_pause_are_not_cut_off(self):
        # In a rolling restart with few ready nodes in a zone, callers are not
        # sent elsewhere: requests arrive until the daemon ends.
        daemon = self.fleet.nodes["web-1"].daemon
        callers = [
            asyncio.create_task(self._call_repeatedly(i)) for i in range(6)
        ]
        await asyncio.sleep(0.5)
        await daemon.drain()
        await daemon.close()
        await asyncio.wait_for(asyncio.gather(*callers), 20)
        self.assertNotIn("cut", self.outcomes)
        self.assertGreater(self.outcomes.count("200"), 20)

    async def test_requests_are_served_while_all_nodes_of_a_service_stop(self):
        # A rolling restart stops both nodes of a service at once: the stopping
        # nodes must serve until their end.
        await self.fleet.add_node("other-1", "other")
        await self.fleet.wait_until_ready()
        daemons = [self.fleet.nodes[n].daemon for n in ("web-1", "web-2")]
        stops = [asyncio.create_task(d.drain()) for d in daemons]
        view = self.fleet.nodes["other-1"].daemon.core.peers.find("web-2").view
        async with asyncio.timeout(10):
            while not view.status.is_stopping:
                await asyncio.sleep(0.02)
        answer = await self.fleet.call("other-1", "/web/", "id-1")
        self.assertEqual(answer.status, 200)
        await asyncio.gather(*stops)

    async def test_stopping_daemon_is_not_ready_and_its_target_is_left(self):
        daemon = self.fleet.nodes["web-1"].daemon
        stop = asyncio.create_task(daemon.drain())
        await asyncio.sleep(0)
        self.assertFalse(daemon.is_ready)
        other = self.fleet.nodes["web-2"].daemon
        async with asyncio.timeout(10):
            while not other.core.peers.find("web-1").view.status.is_stopping:
                await asyncio.sleep(0.02)
        await stop


if __name__ == "__main__":
    unittest.main()
