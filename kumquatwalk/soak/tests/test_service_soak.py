"""Tests of the plan that stops all nodes of a service, and a short soak."""

import unittest

from kumquatwalk.soak.service_runner import NODES
from kumquatwalk.soak.service_runner import make_service_plan
from kumquatwalk.soak.service_runner import run_service_soak
from kumquatwalk.standin.platform_node import GRACE_S

SEED = 11
SECONDS = 4.0


class ServicePlanTest(unittest.TestCase):

    def test_same_seed_gives_the_same_plan(self):
        for seed in range(10):
            plan = make_service_plan(seed, 10.0)
            self.assertEqual(plan, make_service_plan(seed, 10.0))
            self.assertNotEqual(plan, make_service_plan(seed + 1, 10.0))

    def test_all_nodes_of_a_service_stop_at_once(self):
        for seed in range(10):
            plan = make_service_plan(seed, 10.0)
            stopped = {a.node_id for a in plan if a.at_s < GRACE_S}
            self.assertEqual(stopped, set(NODES))


class ServiceSoakTest(unittest.TestCase):

    # Guards against LOST: nodes ended runs for the sake of targets whose nodes
    # were stopping too and refused them.
    def test_no_promise_is_broken_while_all_nodes_stop(self):
        result = run_service_soak(SEED, SECONDS)
        self.assertEqual(result.violations, (), result.losses)
        self.assertGreater(result.outcomes["200"], 100)


if __name__ == "__main__":
    unittest.main()
