"""Tests of the concurrency and rate limits of a route."""

import unittest

from kumquatwalk import codes
from kumquatwalk.admission.route_limits import RouteLimits
from kumquatwalk.config.tests.samples import make_route


class RouteLimitsTest(unittest.TestCase):

    def test_concurrency_limit_is_divided_among_targets(self):
        route = make_route(in_flight_max=9)
        limits = RouteLimits()
        results = [limits.begin(route, 3, 0.0) for _ in range(4)]
        self.assertEqual(results, ["", "", "", codes.ENTRY_LIMIT])
        limits.end(route)
        self.assertEqual(limits.begin(route, 3, 0.0), "")

    def test_each_target_admits_at_least_one_call(self):
        route = make_route(in_flight_max=1)
        self.assertEqual(RouteLimits().begin(route, 50, 0.0), "")

    def test_rate_limit_holds_over_time(self):
        route = make_route(rate_max_per_s=30.0)
        limits = RouteLimits()
        admitted = 0
        for step in range(1000):
            if not limits.begin(route, 3, step / 100):
                admitted += 1
        self.assertTrue(100 <= admitted <= 110, admitted)

    def test_route_without_limits_is_not_limited(self):
        limits = RouteLimits()
        results = {limits.begin(make_route(), 1, 0.0) for _ in range(10_000)}
        self.assertEqual(results, {""})


if __name__ == "__main__":
    unittest.main()
