"""Tests of weighted traffic splitting."""

import collections
import random
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
        splitter = TrafficSplitter(random.Random(1))
        route = make_route(a=90, b=10)
        counts = collections.Counter(splitter.choose(route) for _ in range(100))
        self.assertEqual(counts, {"a": 90, "b": 10})

    def test_split_holds_over_a_large_fleet_from_its_first_requests(self):
        # 195 nodes get two requests each after the weights have changed; all of
        # them would begin with the service of the highest weight.
        rng = random.Random(5)
        for weights in ({"a": 75, "b": 25}, {"a": 60, "b": 40}):
            route = make_route(**weights)
            nodes = [TrafficSplitter(rng) for _ in range(195)]
            chosen = collections.Counter(
                node.choose(route) for node in nodes for _ in range(2)
            )
            share = chosen["b"] / chosen.total()
            self.assertAlmostEqual(share, weights["b"] / 100, delta=0.1)

    def test_changed_weights_apply_immediately(self):
        splitter = TrafficSplitter(random.Random(2))
        for _ in range(7):
            splitter.choose(make_route(a=1, b=99))
        counts = collections.Counter(
            splitter.choose(make_route(a=50, b=50)) for _ in range(100)
        )
        self.assertEqual(counts, {"a": 50, "b": 50})

    def test_service_with_weight_zero_gets_no_requests(self):
        splitter = TrafficSplitter(random.Random(3))
        route = make_route(a=0, b=3)
        self.assertEqual({splitter.choose(route) for _ in range(20)}, {"b"})


if __name__ == "__main__":
    unittest.main()
