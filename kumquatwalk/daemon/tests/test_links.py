"""Tests of which nodes a node is linked to, with daemons in one loop."""

import asyncio
import collections
import json
import unittest

from kumquatwalk.daemon.status import PATH_MEMBERS
from kumquatwalk.daemon.status import StatusHandler
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.subset import SUBSET_SIZES

PAY_NODES = 13


class SubsetLinksTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web", "pay")))
        self.addAsyncCleanup(self.fleet.close)
        for n in range(PAY_NODES):
            zone = "z1" if n % 2 else "z2"
            await self.fleet.add_node(f"pay-{n}", "pay", zone)
        # It starts last, so that it selects once among all.
        self.web = await self.fleet.add_node("web-1", "web")
        for name in self.fleet.nodes:
            await self.fleet.send_heartbeat(name)
        self.peers = self.web.daemon.core.peers
        await self.wait_for(
            lambda: self.peers.count == PAY_NODES + 1
            and self.count_serving() >= SUBSET_SIZES.total
        )

    def count_serving(self) -> int:
        """Return how many linked targets of the payments accept calls."""
        views = self.peers.list_views("pay")
        return sum(v.is_reachable and v.accepts_calls for v in views)

    async def wait_for(self, is_done) -> None:
        """Wait until a condition holds; fail after a long time."""
        async with asyncio.timeout(30):
            while not is_done():
                await asyncio.sleep(0.02)

    async def test_node_is_linked_to_a_subset_and_estimates_the_rest(self):
        self.assertEqual(len(self.peers.list_links()), SUBSET_SIZES.total)
        self.assertEqual(self.peers.count_targets("pay"), PAY_NODES)
        self.assertEqual(
            len(self.peers.list_unlinked()), PAY_NODES - SUBSET_SIZES.total
        )
        weights = {
            w.view.node_id: w.weight for w in self.peers.list_weighted_views()
        }
        self.assertAlmostEqual(
            sum(v for n, v in weights.items() if n != "web-1"), PAY_NODES
        )

    async def test_members_list_the_nodes_that_are_not_linked(self):
        handler = StatusHandler(self.web.daemon.core)
        request = HttpRequest(b"GET", PATH_MEMBERS.encode(), (), b"", True, 0.0)
        members = json.loads((await handler.handle(request)).body)["members"]
        states = collections.Counter(m["state"] for m in members)
        self.assertEqual(
            states,
            {
                "alive": SUBSET_SIZES.total + 1,
                "unlinked": PAY_NODES - SUBSET_SIZES.total,
            },
        )

    async def test_draining_targets_are_replaced_in_the_subset(self):
        linked = [k.view.node_id for k in self.peers.list_links()]
        for name in linked[:4]:
            await self.fleet.send_heartbeat(name, state="draining")
        await self.wait_for(
            lambda: self.count_serving() >= SUBSET_SIZES.total
            and all(
                not v.accepts_calls
                for v in self.peers.list_views("pay")
                if v.node_id in linked[:4]
            )
        )
        answer = await self.fleet.call("web-1", "/pay/", "id-1")
        self.assertEqual(answer.status, 200)

    async def test_lost_nodes_are_replaced_in_the_subset(self):
        linked = [k.view.node_id for k in self.peers.list_links()]
        for name in linked[:4]:
            await self.fleet.nodes[name].daemon.close()
        await self.wait_for(
            lambda: len(
                {
                    v.node_id
                    for v in self.peers.list_views("pay")
                    if v.is_reachable
                }
                - set(linked[:4])
            )
            >= SUBSET_SIZES.total
        )
        answer = await self.fleet.call("web-1", "/pay/", "id-1")
        self.assertEqual(answer.status, 200)

    async def test_node_outside_the_subset_is_linked_on_demand(self):
        entry = self.peers.list_unlinked()[0]
        link = await self.peers.connect(entry.node_id, 10.0)
        self.assertTrue(link.is_usable)
        self.assertIsNone(await self.peers.connect("unknown", 10.0))


if __name__ == "__main__":
    unittest.main()
