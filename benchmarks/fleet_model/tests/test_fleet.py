"""Load patterns of the large fleet, played by the product's own decisions."""

import unittest

from benchmarks.fleet_experiment import measure_design
from benchmarks.fleet_model.design import DESIGNS
from benchmarks.fleet_model.surge import measure_surge_delay


class LargeFleetTest(unittest.TestCase):
    """Five zones and four services, as in the letter of the large fleet."""

    def measure(self, name: str, nodes: int):
        """Return the figures of a design in a run of 12 virtual seconds."""
        return measure_design(DESIGNS[name], nodes, 12.0, 6.0, seed=1)

    def test_what_a_node_receives_does_not_follow_the_fleet(self):
        small = self.measure("subset", 30)
        large = self.measure("subset", 300)
        self.assertLess(large.messages_per_s, 1.25 * small.messages_per_s)
        self.assertLess(large.links, 1.25 * small.links)
        baseline = self.measure("all-links", 30)
        self.assertGreaterEqual(
            baseline.messages_per_s, 2 * small.messages_per_s
        )

    def test_load_spreads_better_than_by_the_same_cheapest_target(self):
        subset = self.measure("subset", 195)
        baseline = self.measure("all-links", 195)
        self.assertLess(subset.spread, baseline.spread)

    def test_target_that_joins_has_work_within_two_seconds(self):
        result = self.measure("subset", 195)
        self.assertLess(result.join_s, 2.0)

    def test_surge_is_known_everywhere_within_four_seconds(self):
        # Two seconds is the aim for a sample of no noise; a window and the
        # average of rates take as long again.
        delay_s = measure_surge_delay(195, DESIGNS["subset"], seed=1)
        self.assertLessEqual(delay_s, 4.0)
        baseline_s = measure_surge_delay(195, DESIGNS["all-links"], seed=1)
        self.assertGreater(baseline_s, delay_s)

    def test_runs_with_the_same_seed_are_the_same(self):
        self.assertEqual(self.measure("subset", 30), self.measure("subset", 30))


if __name__ == "__main__":
    unittest.main()
