"""Tests of the plan of a soak in the shape of a deployment."""

import unittest

from kumquatwalk.soak.deployment_plan import make_deployment_plan
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.platform_plan import ChangeKind
from kumquatwalk.standin.deployment_fleet import PLACES
from kumquatwalk.standin.platform_node import GRACE_S

NODES = tuple(place.name for place in PLACES)
SECONDS = 25.0


class DeploymentPlanTest(unittest.TestCase):

    def test_same_seed_gives_the_same_plan(self):
        for seed in range(10):
            plan = make_deployment_plan(seed, SECONDS, NODES)
            self.assertEqual(plan, make_deployment_plan(seed, SECONDS, NODES))
            other = make_deployment_plan(seed + 1, SECONDS, NODES)
            self.assertNotEqual(plan, other)

    def test_odd_seeds_have_planned_work_and_even_ones_kills_too(self):
        unplanned = {Fault.NODE_KILL, Fault.NODE_PAUSE, Fault.TARGET_KILL}
        found = {0: set(), 1: set()}
        for seed in range(60):
            plan, _ = make_deployment_plan(seed, SECONDS, NODES)
            found[seed % 2].update(action.fault for action in plan)
        self.assertLessEqual(unplanned, found[0])
        self.assertEqual(found[1], found[0] - unplanned)

    def test_stops_overlap_and_some_are_repeated(self):
        for seed in range(10):
            plan, _ = make_deployment_plan(seed, SECONDS, NODES)
            stops = [a for a in plan if a.fault is Fault.NODE_STOP]
            overlaps = again = 0
            for first, second in zip(stops, stops[1:]):
                is_soon = second.at_s - first.at_s < GRACE_S
                overlaps += is_soon and first.node_id != second.node_id
            for first in stops:
                again += any(
                    stop.node_id == first.node_id
                    and 0.0 < stop.at_s - first.at_s < GRACE_S
                    for stop in stops
                )
            self.assertGreater(overlaps, 4)
            self.assertGreater(again, 0)

    def test_each_kind_of_change_comes_beside_stops(self):
        for seed in range(10):
            _, changes = make_deployment_plan(seed, SECONDS, NODES)
            self.assertEqual({c.kind for c in changes}, set(ChangeKind))


if __name__ == "__main__":
    unittest.main()
