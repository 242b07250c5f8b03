"""Tests that callers use a zone again after all its VMs restarted."""

import unittest

from kumquatwalk.proofs.chain import NODES
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.proofs.load import ClosedLoopLoad
from kumquatwalk.standin.fleet import wait_until

ZONE_NODES = ("z2-vm1", "z2-vm2")
OTHER_NODES = tuple(node_id for node_id in NODES if node_id not in ZONE_NODES)


class RestartTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.chain = ChainFleet()
        cls.addClassCleanup(cls.chain.close)
        cls.chain.start()

    def tearDown(self):
        self.assertEqual(self.chain.check(), [])

    def read_incarnations(self, observer):
        """Return the incarnations of the zone's nodes as seen by a node."""
        return {
            member["node_id"]: member["incarnation"]
            for member in self.chain.fleet.read_members(observer)
            if member["node_id"] in ZONE_NODES and member["state"] == "alive"
        }

    def count_runs(self):
        """Return the number of runs at each target of the zone."""
        targets = [run.target for run in self.chain.read_runs()]
        return {node_id: targets.count(node_id) for node_id in ZONE_NODES}

    def restart_zone(self):
        """Kill and restart all processes on the zone's VMs."""
        fleet = self.chain.fleet
        for node_id in ZONE_NODES:
            fleet.nodes[node_id].kill()
            fleet.targets[node_id].kill()
        for node_id in ZONE_NODES:
            self.chain.start_node(node_id)
            self.chain.start_target(node_id)

    def test_restarted_zone_is_called_again_under_its_new_incarnations(self):
        before = self.read_incarnations(OTHER_NODES[0])
        load = ClosedLoopLoad(
            self.chain, list(OTHER_NODES) * 2, "browse", "restart"
        )
        load.start()
        self.addCleanup(load.close)
        wait_until(lambda: min(self.count_runs().values()) > 0, "first runs")
        self.restart_zone()
        new = {n: self.read_incarnations(n)[n] for n in ZONE_NODES}
        for node_id in ZONE_NODES:
            self.assertGreater(new[node_id], before[node_id])
        wait_until(
            lambda: all(self.read_incarnations(n) == new for n in OTHER_NODES),
            "the new incarnations to be known",
        )
        runs = self.count_runs()
        wait_until(
            lambda: all(n > runs[t] for t, n in self.count_runs().items()),
            "runs at the restarted targets",
        )
        load.close()
        self.assertTrue(
            all(self.read_incarnations(n) == new for n in OTHER_NODES)
        )
        self.chain.fleet.wait_ready()
        for node_id in NODES:
            name = f"after-{node_id}"
            answer = self.chain.send(node_id, "renew", name, key=name)
            self.assertEqual((answer.outcome, answer.code), ("done", ""))


if __name__ == "__main__":
    unittest.main()
