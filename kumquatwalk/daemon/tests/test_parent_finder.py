"""Tests of inferring the run that a call belongs to."""

import unittest

from kumquatwalk.config.tests.samples import make_route
from kumquatwalk.daemon.parent_finder import ParentFinder
from kumquatwalk.mesh.tests.samples import make_call
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport
from kumquatwalk.targets.run import Run
from kumquatwalk.targets.run import RunTable

NOW = 100.0


def make_graph() -> CallGraph:
    """Return a graph with the outer route order and the inner route stock."""
    graph = CallGraph()
    outer = RouteRate("order", 10.0)
    for service, rates in (
        ("shop", (outer, RouteRate("stock", 30.0))),
        ("depot", (outer,)),
    ):
        graph.take_report(service, service, TrafficReport(rates), NOW)
    return graph


class ParentFinderTest(unittest.TestCase):

    def setUp(self):
        runs = RunTable()
        call = make_call(route="order", rank=0, deadline=101.0, depth=1)
        runs.add(Run(call, 99.0))
        self.parents = ParentFinder(runs, make_graph())

    def test_calls_of_an_important_request_are_as_important(self):
        # Pattern: orders and browsing call the same narrow service; its gates
        # are to serve the calls of orders first.
        chain = self.parents.find(make_route(name="stock"), 101.0, NOW)
        self.assertEqual((chain.rank, chain.depth), (0, 2))
        self.assertEqual(chain.parent_route, "order")
        self.assertIsNone(chain.tokens)

    def test_request_of_a_caller_has_no_run(self):
        self.assertIsNone(
            self.parents.find(make_route(name="order"), 101.0, NOW)
        )

    def test_call_without_a_deadline_or_with_another_has_no_known_run(self):
        route = make_route(name="stock")
        self.assertIsNone(self.parents.find(route, None, NOW))
        self.assertIsNone(self.parents.find(route, 100.7, NOW))


if __name__ == "__main__":
    unittest.main()
