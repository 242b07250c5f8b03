"""Tests of the longest timeout of each route."""

import unittest

from kumquatwalk.retry.longest_timeout import WINDOW_S
from kumquatwalk.retry.longest_timeout import LongestTimeouts


class LongestTimeoutsTest(unittest.TestCase):

    def test_longest_of_the_route_is_returned(self):
        timeouts = LongestTimeouts()
        self.assertEqual(timeouts.record("a", 5.0, 1.0), 5.0)
        self.assertEqual(timeouts.record("a", 3.0, 2.0), 5.0)
        self.assertEqual(timeouts.record("b", 3.0, 2.0), 3.0)

    def test_one_long_timeout_is_forgotten(self):
        # Otherwise all later callers of the route would count as retries.
        timeouts = LongestTimeouts()
        timeouts.record("a", 60.0, 1.0)
        longest = 0.0
        for second in range(2, int(2 * WINDOW_S) + 2):
            longest = timeouts.record("a", 5.0, float(second))
        self.assertEqual(longest, 5.0)

    def test_timeout_counts_for_a_window_at_least(self):
        timeouts = LongestTimeouts()
        timeouts.record("a", 5.0, WINDOW_S - 0.1)
        self.assertEqual(timeouts.record("a", 3.0, 2 * WINDOW_S - 0.2), 5.0)

    def test_windows_without_callers_are_forgotten(self):
        timeouts = LongestTimeouts()
        timeouts.record("a", 60.0, 1.0)
        self.assertEqual(timeouts.record("a", 5.0, 100.0), 5.0)


if __name__ == "__main__":
    unittest.main()
