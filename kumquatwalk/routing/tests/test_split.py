"""Tests of weighted traffic splitting."""

import collections
import unittest

from kumquatwalk.config.route import Route
from kumquatwalk.config.route import ServiceShare
from kumquatwalk.routing.split import TrafficSplitter


def make_route(**weights: float) -> Route:
    """Return a route that is split between services by weight."""
    shares = tuple(ServiceShare(s, w) for s, w in weights.items())
    return Route("r", "h", "/", shares, True, 2, 1.0, 1.0, 2)


class TrafficSplitterTest(unittest.TestCase):

    def test_shares_are_exact_over_a_cycle(self):
        splitter = TrafficSplitter()
        route = make_route(a=90, b=10)
        counts = collections.Counter(splitter.choose(route) for _ in range(100))
        self.assertEqual(counts, {"a": 90, "b": 10})

    def test_changed_weights_apply_immediately(self):
        splitter = TrafficSplitter()
        for _ in range(7):
            splitter.choose(make_route(a=1, b=99))
        counts = collections.Counter(
            splitter.choose(make_route(a=50, b=50)) for _ in range(100)
        )
        self.assertEqual(counts, {"a": 50, "b": 50})

    def test_service_with_weight_zero_gets_no_requests(self):
        splitter = TrafficSplitter()
        route = make_route(a=0, b=3)
        self.assertEqual({splitter.choose(route) for _ in range(20)}, {"b"})


if __name__ == "__main__":
    unittest.main()
