"""Tests of the sizes of calls by route."""

import math
import unittest

from kumquatwalk.routing.route_sizes import DEFAULT_KB
from kumquatwalk.routing.route_sizes import ROUTES_MAX
from kumquatwalk.routing.route_sizes import RouteSizes


class RouteSizesTest(unittest.TestCase):

    def test_route_without_replies_may_be_of_any_size(self):
        sizes = RouteSizes()
        self.assertEqual(sizes.estimate("pay"), DEFAULT_KB)
        self.assertEqual(sizes.find_largest("pay"), math.inf)

    def test_largest_is_kept_while_the_mean_falls(self):
        sizes = RouteSizes()
        sizes.record("pay", 900_000)
        for _ in range(100):
            sizes.record("pay", 1000)
        self.assertEqual(sizes.find_largest("pay"), 900_000)
        self.assertLess(sizes.estimate("pay"), 2.0)

    def test_number_of_routes_is_bounded(self):
        sizes = RouteSizes()
        for number in range(ROUTES_MAX + 1):
            sizes.record(str(number), 1000)
        self.assertEqual(sizes.find_largest("0"), math.inf)
        self.assertEqual(sizes.find_largest("1"), 1000)


if __name__ == "__main__":
    unittest.main()
