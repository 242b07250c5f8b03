"""Tests of the platform soak's plan, and a short soak with fixed seeds."""

import collections
import unittest

from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.platform_plan import ChangeKind
from kumquatwalk.soak.platform_plan import make_changes
from kumquatwalk.soak.platform_plan import make_platform_plan
from kumquatwalk.soak.platform_runner import run_platform_soak

NODES = tuple(f"n{number}" for number in range(1, 7))
# One seed with planned work only, and one with kills and pauses.
SEEDS = (1, 2)
SECONDS = 7.0


class PlanTest(unittest.TestCase):

    def test_same_seed_gives_the_same_plan(self):
        for seed in range(20):
            plan = make_platform_plan(seed, 10.0, NODES)
            self.assertEqual(plan, make_platform_plan(seed, 10.0, NODES))
            changes = make_changes(seed, 10.0, plan)
            self.assertEqual(changes, make_changes(seed, 10.0, plan))
            self.assertNotEqual(plan, make_platform_plan(seed + 1, 10.0, NODES))

    def test_odd_seeds_have_planned_work_and_even_ones_kills_too(self):
        unplanned = {Fault.NODE_KILL, Fault.NODE_PAUSE, Fault.TARGET_KILL}
        found = {0: set(), 1: set()}
        for seed in range(40):
            plan = make_platform_plan(seed, 10.0, NODES)
            found[seed % 2].update(action.fault for action in plan)
        self.assertEqual(found[0], set(Fault) - {Fault.NODE_CUT})
        self.assertEqual(found[1], found[0] - unplanned)

    def test_nodes_are_reloaded_while_they_stop(self):
        count = 0
        for seed in range(20):
            plan = make_platform_plan(seed, 10.0, NODES)
            stops = [a for a in plan if a.fault is Fault.NODE_STOP]
            for change in make_changes(seed, 10.0, plan):
                count += change.kind is ChangeKind.RELOAD and any(
                    stop.node_id == change.node_id
                    and 0.0 <= change.at_s - stop.at_s <= 5.0
                    for stop in stops
                )
        self.assertGreater(count, 40)


class PlatformSoakTest(unittest.TestCase):

    # Guards against LOST: planned stops dropped requests that targets ran.
    def test_no_promise_is_broken_under_overlapping_faults(self):
        violations = []
        for seed in SEEDS:
            result = run_platform_soak(seed, SECONDS)
            violations += result.violations
            self.assertGreater(result.outcomes["200"], 300)
        rules = collections.Counter(v.rule for v in violations)
        examples = {v.rule: v for v in violations}
        self.assertEqual(list(examples.values()), [], f"in all {dict(rules)}")


if __name__ == "__main__":
    unittest.main()
