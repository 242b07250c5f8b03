"""Tests of the memory of targets that leave."""

import unittest

from kumquatwalk.mesh.message import TargetStatus
from kumquatwalk.routing import leaving_targets
from kumquatwalk.routing.leaving_targets import LeavingTargets


def make_status(key: int, start_ms: int) -> TargetStatus:
    """Return the status of one start of a target."""
    return TargetStatus(target_key=key, target_start_ms=start_ms)


class LeavingTargetsTest(unittest.TestCase):

    def setUp(self):
        self.leaving = LeavingTargets()
        self.leaving.record("n", make_status(7, 1000))

    def test_same_start_is_remembered(self):
        self.assertTrue(self.leaving.has("n", make_status(7, 1000)))

    def test_start_that_is_not_known_may_be_the_same(self):
        self.assertTrue(self.leaving.has("n", make_status(7, 0)))

    def test_another_start_or_target_is_not_meant(self):
        self.assertFalse(self.leaving.has("n", make_status(7, 2000)))
        self.assertFalse(self.leaving.has("n", make_status(8, 1000)))
        self.assertFalse(self.leaving.has("n", make_status(8, 0)))
        self.assertFalse(self.leaving.has("m", make_status(7, 1000)))

    def test_memory_is_bounded(self):
        for number in range(leaving_targets.NODES_MAX):
            self.leaving.record(str(number), make_status(1, 1))
        self.assertFalse(self.leaving.has("n", make_status(7, 1000)))
        self.assertTrue(self.leaving.has("0", make_status(1, 1)))


if __name__ == "__main__":
    unittest.main()
