"""Planned stops and leaving targets under load, with real processes."""

import unittest

from kumquatwalk.proofs.chain import NODES
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.proofs.load import Load
from kumquatwalk.standin.fleet import wait_until

PORTAL, OTHER_PORTAL = "z1-vm1", "z2-vm2"
STALE = "z3-vm2"
REFUSED_CONNECTION = ("none", "NewConnectionError")


class LeavingTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.chain = ChainFleet()
        cls.addClassCleanup(cls.chain.close)
        cls.chain.start()

    def tearDown(self):
        self.assertEqual(self.chain.check(), [])

    def press(self, entry, name):
        """Start a load on all nodes and wait until it is served."""
        load = Load(self.chain, list(NODES) * 2, entry, name)
        load.start()
        self.addCleanup(load.close)
        self.wait_for_answers(load, 30)
        return load

    def wait_for_answers(self, load, number):
        """Wait until a load has received more answers."""
        enough = len(load.answers) + number
        wait_until(lambda: len(load.answers) >= enough, "answers")

    def test_leaving_target_ends_by_itself_under_load(self):
        for entry in ("browse", "renew"):
            load = self.press(entry, f"leave-{entry}")
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
            self.cut_off(is_frozen, True)
            runs = len(self.runs_at_portal())
            self.assertEqual(self.chain.fleet.targets[PORTAL].stop(), 0)
            runs_at_end = len(self.runs_at_portal())
            self.cut_off(is_frozen, False)
            for number in range(20):
                name = f"stale-{is_frozen}-{number}"
                answer = self.chain.send(STALE, "browse", name)
                self.assertEqual((answer.outcome, answer.code), ("done", ""))
            self.assertEqual(len(self.runs_at_portal()), runs_at_end)
            self.assertEqual(runs, runs_at_end)
            self.chain.start_target(PORTAL)
            self.chain.fleet.wait_ready()

    def cut_off(self, is_frozen, is_on):
        """Freeze the stale node, or cut it from all; or end that."""
        node = self.chain.fleet.nodes[STALE]
        if not is_frozen:
            prefixes = ("127.1.", "127.2.", "127.3.0.1") if is_on else ()
            self.chain.fleet.cut(STALE, prefixes)
        elif is_on:
            node.freeze()
        else:
            node.thaw()

    def runs_at_portal(self):
        """Return the runs at the leaving target."""
        return [run for run in self.chain.read_runs() if run.target == PORTAL]

    def test_planned_stop_of_a_node_cuts_nothing_off(self):
        for node_id in NODES:
            self.chain.set_target_faults(node_id, service_factor=5)
        load = self.press("renew", "stop")
        status = self.chain.fleet.nodes[PORTAL].stop()
        self.wait_for_answers(load, 100)
        load.close()
        self.assertEqual(status, 0)
        outcomes = {
            (a.outcome, a.code)
            for a in load.answers
            if a.outcome not in ("done", "not_run")
        }
        self.assertEqual(outcomes - {REFUSED_CONNECTION}, set())
        self.chain.fleet.targets[PORTAL].stop()
        self.chain.start_node(PORTAL)
        self.chain.start_target(PORTAL)
        for node_id in NODES:
            self.chain.set_target_faults(node_id)
        self.chain.fleet.wait_ready()


if __name__ == "__main__":
    unittest.main()
