"""Unit tests of counters of which only the busiest are told apart."""

import unittest

from kumquatwalk.metrics import busiest_labels
from kumquatwalk.metrics.busiest_labels import BUSIEST_MAX
from kumquatwalk.metrics.busiest_labels import BusiestCounters
from kumquatwalk.metrics.label import Label
from kumquatwalk.metrics.registry import MetricsRegistry
from kumquatwalk.metrics.registry import OVERFLOW_LABELS

OUTCOME = Label("outcome", "done")


def read_counts(registry):
    """Return the counts by value of the label; empty for the shared ones."""
    (family,) = registry.list_families()
    counts = {}
    for key, series in family.series.items():
        labels = {label.name: label.value for label in key}
        counts[labels.get("team", "")] = series.read()
        if "team" not in labels:
            assert OVERFLOW_LABELS[0] in key
    return counts


class BusiestCountersTest(unittest.TestCase):

    def setUp(self):
        self.registry = MetricsRegistry()
        self.counters = BusiestCounters(self.registry, "n_total", "team", "")

    def count(self, value, events):
        """Count events of a value."""
        for _ in range(events):
            self.counters.increment(value, OUTCOME)

    def test_number_of_series_is_bounded_and_no_event_is_lost(self):
        for number in range(500):
            self.count(f"t{number}", 3)
        counts = read_counts(self.registry)
        self.assertEqual(len(counts), BUSIEST_MAX + 1)
        self.assertEqual(sum(counts.values()), 1500)

    def test_value_that_becomes_busy_takes_the_series_of_a_rare_one(self):
        # Those that came first would else be told apart for ever.
        for number in range(BUSIEST_MAX):
            self.count(f"t{number}", 10 + number)
        shared = 0
        for _ in range(3):
            self.count("new", busiest_labels.CHECK_INTERVAL)
            counts = read_counts(self.registry)
            self.assertGreaterEqual(counts[""], shared)
            shared = counts[""]
        self.assertIn("new", counts)
        self.assertNotIn("t0", counts)
        self.assertIn("t31", counts)
        self.assertEqual(len(counts), BUSIEST_MAX + 1)
        self.assertEqual(
            sum(counts.values()),
            3 * busiest_labels.CHECK_INTERVAL
            + sum(10 + n for n in range(BUSIEST_MAX)),
        )


if __name__ == "__main__":
    unittest.main()
