"""Load of targets of unlike speed on machines that slow down at times.

Speeds 0.55 to 1.6; noise of 2.5 times for 15% of the time in intervals of
0.6 s; calls that look alike have a lognormal spread of work by half and 1% of
them take five times as long. 195 nodes, 18 calls a second each.
"""

import unittest

from benchmarks.fleet_model.unlike_targets import Noise
from benchmarks.fleet_model.unlike_targets import UnlikeSimulation

NODES = 195
RATE_PER_S = 18.0
SECONDS = 10.0


class UnlikeTargetsTest(unittest.TestCase):

    def measure(self, report, **changes):
        """Return the figures of one run."""
        simulation = UnlikeSimulation(NODES, report, RATE_PER_S, 1, **changes)
        return simulation.play(SECONDS)

    # Guards against herding: figures that change many times a second must not
    # draw the calls of all nodes to the same targets.
    def test_work_left_makes_fewer_calls_late_without_herding(self):
        before = self.measure("calls")
        after = self.measure("work")
        self.assertLess(after.p99_ms, before.p99_ms)
        self.assertLess(after.late_percent, 0.8 * before.late_percent)
        self.assertLess(after.p50_ms, before.p50_ms)
        self.assertLessEqual(after.spread_window, before.spread_window)

    def test_machines_without_noise_are_served_no_worse(self):
        noise = Noise(part=0.0)
        before = self.measure("calls", noise=noise)
        after = self.measure("work", noise=noise)
        self.assertLessEqual(after.p99_ms, 1.05 * before.p99_ms)
        self.assertLessEqual(after.spread_window, 1.05 * before.spread_window)


if __name__ == "__main__":
    unittest.main()
