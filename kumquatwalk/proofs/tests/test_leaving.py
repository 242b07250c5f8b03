"""Tests of graceful shutdown and draining of targets under load."""

import unittest

from kumquatwalk.proofs.chain import NODES
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.proofs.load import ClosedLoopLoad
from kumquatwalk.standin.fleet import wait_until

PORTAL, OTHER_PORTAL = "z1-vm1", "z2-vm2"
STALE_NODE = "z3-vm2"
CONNECTION_REFUSED = ("none", "NewConnectionError")


class LeavingTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.chain = ChainFleet()
        cls.addClassCleanup(cls.chain.close)
        cls.chain.start()

    def tearDown(self):
        self.assertEqual(self.chain.check(), [])

    def start_load(self, entry, name):
        """Start a load on all nodes and wait for its first answers."""
        load = ClosedLoopLoad(self.chain, list(NODES) * 2, entry, name)
        load.start()
        self.addCleanup(load.close)
        self.wait_for_answers(load, 30)
        return load

    def wait_for_answers(self, load, number):
        """Wait until a load has received a number of further answers."""
        enough = len(load.answers) + number
        wait_until(lambda: len(load.answers) >= enough, "answers")

    def test_leaving_target_ends_by_itself_under_load(self):
        for entry in ("browse", "renew"):
            load = self.start_load(entry, f"leave-{entry}")
            status = self.chain.fleet.targets[PORTAL].stop()
            self.wait_for_answers(load, 100)
            load.close()
            self.assertEqual(status, 0)
            outcomes = {(a.outcome, a.code) for a in load.answers}
            self.assertEqual({o for o, _ in outcomes} - {"not_run"}, {"done"})
            self.chain.start_target(PORTAL)
            self.chain.fleet.wait_ready()

    def test_node_with_a_stale_view_brings_no_new_work(self):
        for is_frozen in (True, False):
            self.set_isolated(is_frozen, True)
            runs = len(self.read_portal_runs())
            self.assertEqual(self.chain.fleet.targets[PORTAL].stop(), 0)
            runs_at_end = len(self.read_portal_runs())
            self.set_isolated(is_frozen, False)
            for number in range(20):
                name = f"stale-{is_frozen}-{number}"
                answer = self.chain.send(STALE_NODE, "browse", name)
                self.assertEqual((answer.outcome, answer.code), ("done", ""))
            self.assertEqual(len(self.read_portal_runs()), runs_at_end)
            self.assertEqual(runs, runs_at_end)
            self.chain.start_target(PORTAL)
            self.chain.fleet.wait_ready()

    def set_isolated(self, is_frozen, is_on):
        """Suspend or partition the stale node, or undo it."""
        node = self.chain.fleet.nodes[STALE_NODE]
        if not is_frozen:
            prefixes = ("127.1.", "127.2.", "127.3.0.1") if is_on else ()
            self.chain.fleet.block_hosts(STALE_NODE, prefixes)
        elif is_on:
            node.suspend()
        else:
            node.resume()

    def read_portal_runs(self):
        """Return the runs at the target that is stopped."""
        return [run for run in self.chain.read_runs() if run.target == PORTAL]

    def test_planned_stop_of_a_node_cuts_nothing_off(self):
        for node_id in NODES:
            self.chain.set_target_faults(node_id, service_factor=5)
        load = self.start_load("renew", "stop")
        status = self.chain.fleet.nodes[PORTAL].stop()
        self.wait_for_answers(load, 100)
        load.close()
        self.assertEqual(status, 0)
        outcomes = {
            (a.outcome, a.code)
            for a in load.answers
            if a.outcome not in ("done", "not_run")
        }
        self.assertEqual(outcomes - {CONNECTION_REFUSED}, set())
        self.chain.fleet.targets[PORTAL].stop()
        self.chain.start_node(PORTAL)
        self.chain.start_target(PORTAL)
        for node_id in NODES:
            self.chain.set_target_faults(node_id)
        self.chain.fleet.wait_ready()


if __name__ == "__main__":
    unittest.main()
