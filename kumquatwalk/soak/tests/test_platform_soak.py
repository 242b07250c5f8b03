"""Tests of the platform soak's plan, and a short soak with fixed seeds."""

import collections
import pathlib
import types
import unittest
from unittest import mock

from kumquatwalk.soak import platform_soak
from kumquatwalk.soak.plan import Fault
from kumquatwalk.soak.platform_plan import ChangeKind
from kumquatwalk.soak.platform_plan import make_changes
from kumquatwalk.soak.platform_plan import make_platform_plan
from kumquatwalk.soak.platform_record import PlannedWork
from kumquatwalk.soak.platform_record import PlatformRecord
from kumquatwalk.soak.platform_runner import run_platform_soak
from kumquatwalk.soak.platform_soak import PlatformSoak
from kumquatwalk.standin.attempt import Attempt
from kumquatwalk.standin.scripted_target import Run

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


class CheckTest(unittest.TestCase):

    def check(self, works, statuses):
        """Return the rules broken for one attempt, run at n2.

        Args:
            works: Planned work.
            statuses: Status of the answer and that of the run.
        """
        attempt = Attempt(
            *("a", "unsafe", False, "n1", 1, 1, 0, False, 9, 99.0, 99.0, 101.0)
        )
        attempt.status, status = statuses
        run = Run("a", None, 99.1, True, 101.0, status=status)
        runs = {"a": [("n2", run)]}
        soak = PlatformSoak(1, None, 1, pathlib.Path())
        record = PlatformRecord([attempt], runs, works, ())
        return [violation.rule for violation in soak.check(record)]

    def test_violation_that_either_judge_finds_counts(self):
        stop = PlannedWork("n2", 1, 100.0, True)
        self.assertEqual(self.check([], (503, 200)), ["run_though_refused"])
        self.assertEqual(self.check([stop], (502, 200)), ["LOST"])
        self.assertEqual(self.check([], (502, 200)), [])


class StoreImpairmentTest(unittest.TestCase):

    def test_each_fault_of_the_store_is_recorded_until_it_is_lifted(self):
        store = types.SimpleNamespace(faults=None)
        fleet = types.SimpleNamespace(store=store)
        soak = PlatformSoak(1, fleet, 1, pathlib.Path())
        # pylint: disable=protected-access
        with mock.patch.object(platform_soak, "read_now") as read_now:
            read_now.side_effect = (10.0, 10.5, 11.0, 11.5)
            soak._set_store_faults(delay_ms=300)
            soak._set_store_faults(outage=True)
            soak._set_store_faults()
            soak._set_store_faults()
        self.assertEqual(soak._store_impairments, [(10.0, 10.5), (10.5, 11.0)])


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
