"""Tests of what the demo takes for a success."""

import dataclasses
import unittest

from benchmarks.closed_loop import CallerGroup
from benchmarks.closed_loop import GroupResult
from examples.demo import describe_renewals
from examples.demo import find_surge_fault

GROUPS = [
    CallerGroup("a:1", "browse", 30),
    CallerGroup("a:1", "renew", 3, True),
]
BROWSED = GroupResult("browse", 30, {"done": 5, "not_run": 9}, {}, [])
RENEWED = GroupResult("renew", 3, {"done": 4}, {"0.5": 80.0}, [4])


class SurgeFaultTest(unittest.TestCase):

    def find(self, browsed=None, renewed=None):
        """Return the fault of a surge that differs from a good one."""
        results = [
            dataclasses.replace(BROWSED, **(browsed or {})),
            dataclasses.replace(RENEWED, **(renewed or {})),
        ]
        return find_surge_fault(GROUPS, results)

    def test_good_surge_has_no_fault(self):
        self.assertEqual(self.find(), "")

    def test_faults_are_told_apart(self):
        faults = [
            self.find(renewed={"callers_begun": 2}),
            self.find(renewed={"outcomes": {}}),
            self.find(renewed={"outcomes": {"done": 4, "none": 1}}),
            self.find(browsed={"outcomes": {"done": 9}}),
        ]
        self.assertNotIn("", faults)
        self.assertEqual(len(set(faults)), len(faults))

    def test_renewals_are_described_with_share_and_times(self):
        text = describe_renewals(RENEWED)
        self.assertEqual(text, "4 of 4 completed (100%); 50.0% within 80 ms")
        silent = dataclasses.replace(RENEWED, outcomes={})
        self.assertEqual(describe_renewals(silent), "none was sent")


if __name__ == "__main__":
    unittest.main()
