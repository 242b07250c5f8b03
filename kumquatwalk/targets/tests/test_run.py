"""Tests of the runs in progress, found by name and by deadline."""

import unittest

from kumquatwalk.mesh.tests.samples import make_call
from kumquatwalk.targets.run import FIRST_CALL_S
from kumquatwalk.targets.run import Run
from kumquatwalk.targets.run import RunTable

NOW = 100.0


def make_run(deadline: float, route: str = "order", began_at: float = 99.0):
    """Return a run of a call with a deadline."""
    return Run(make_call(route=route, deadline=deadline), began_at)


class RunTableTest(unittest.TestCase):

    def setUp(self):
        self.runs = RunTable()
        self.order = make_run(101.0003)
        self.browse = make_run(101.0302, "browse")
        for run in (self.order, self.browse):
            self.runs.add(run)

    def find(self, deadline: float, now: float = NOW) -> Run | None:
        """Return the run found for a deadline."""
        return self.runs.find_by_deadline(deadline, now)

    def test_run_is_found_though_the_time_left_is_cut_to_milliseconds(self):
        # What is left, 1000.3 ms, is cut to 1000 on its way to the target, and
        # the 949.9 ms that are left when it calls to 949.
        self.assertIs(self.find(100.0504 + 0.949), self.order)
        self.assertIs(self.find(100.001 + 1.0), self.order)

    def test_run_that_fits_best_is_taken(self):
        near = make_run(101.0021)
        self.runs.add(near)
        self.assertIs(self.find(100.9998), self.order)
        self.assertIs(self.find(101.0013), near)

    def test_no_run_is_found_for_a_deadline_of_the_calls_own(self):
        self.assertIsNone(self.find(100.7))
        self.assertIsNone(self.find(101.015))
        self.assertIsNone(self.find(103.0))

    def test_run_that_has_only_begun_makes_no_calls_yet(self):
        # Pattern: callers with the same time limit send at the same moment.
        run = make_run(102.0, began_at=NOW)
        self.runs.add(run)
        self.assertIsNone(self.find(102.0, NOW + FIRST_CALL_S / 2))
        self.assertIs(self.find(102.0, NOW + 2 * FIRST_CALL_S), run)

    def test_run_that_has_ended_is_not_found(self):
        twin = make_run(101.0003)
        self.runs.add(twin)
        self.runs.remove(self.order)
        self.runs.remove(self.order)
        self.assertIs(self.find(101.0), twin)
        self.runs.remove(twin)
        self.assertIsNone(self.find(101.0))
        self.assertIs(self.runs.find(self.browse.run_id), self.browse)
        self.assertEqual(len(self.runs), 1)


if __name__ == "__main__":
    unittest.main()
