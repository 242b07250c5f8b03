"""Tests that requests which crash targets are quarantined."""

import unittest

from kumquatwalk.proofs.chain import NODES
from kumquatwalk.proofs.chain import ChainFleet
from kumquatwalk.proofs.load import ClosedLoopLoad

PORTALS = ("z1-vm1", "z2-vm2")
PAYMENTS = ("z1-vm2", "z3-vm1")
MAX_CRASHES = 2
RESEND_COUNT = 8


class CrashTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.chain = ChainFleet()
        cls.addClassCleanup(cls.chain.close)
        cls.chain.start()

    def tearDown(self):
        self.assertEqual(self.chain.check(), [])

    def count_crashes(self, nodes, marker):
        """Restart crashed targets and return their number."""
        crashed = [
            node_id
            for node_id in nodes
            if not self.chain.fleet.targets[node_id].is_running()
        ]
        for node_id in crashed:
            self.chain.start_target(node_id)
        for node_id in nodes:
            self.chain.set_target_faults(node_id, crash_marker=marker)
        self.chain.fleet.wait_ready()
        return len(crashed)

    def resend(self, entry, nodes, marker):
        """Resend a request under new keys; return crashes and answers."""
        crashes = self.count_crashes(nodes, marker)
        answers = []
        for number in range(RESEND_COUNT):
            node_id = NODES[number % len(NODES)]
            key = f"{marker}-{number}" if entry == "renew" else ""
            answers.append(self.chain.send(node_id, entry, marker, key=key))
            crashes += self.count_crashes(nodes, marker)
        return crashes, answers

    def test_request_is_refused_after_two_crashes_and_others_run(self):
        crashes, answers = self.resend("browse", PORTALS, "poison-a")
        self.assertLessEqual(crashes, MAX_CRASHES)
        self.assertEqual(answers[-1].outcome, "not_run")
        self.assertEqual(answers[-1].code, "quarantined")
        for node_id in NODES:
            answer = self.chain.send(node_id, "browse", f"good-{node_id}")
            self.assertEqual(answer.outcome, "done")

    def test_crashes_deep_in_the_chain_stop_while_others_pay(self):
        load = ClosedLoopLoad(self.chain, list(NODES), "renew", "payer")
        load.start()
        self.addCleanup(load.close)
        crashes, answers = self.resend("renew", PAYMENTS, "poison-b")
        load.close()
        self.assertLessEqual(crashes, MAX_CRASHES)
        self.assertNotIn("done", [answer.outcome for answer in answers])
        for node_id in NODES:
            name = f"payer-after-{node_id}"
            answer = self.chain.send(node_id, "renew", name, key=name)
            self.assertEqual(answer.outcome, "done")


if __name__ == "__main__":
    unittest.main()
