"""Unit tests of the call graph and the estimator of calls per run."""

import random
import unittest

from kumquatwalk.routing.call_estimator import CallEstimator
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import CallShare
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport


def make_graph(**reports: TrafficReport) -> CallGraph:
    """Return a graph from the reports of one node for each service."""
    graph = CallGraph()
    for _ in range(2):
        for service, report in reports.items():
            graph.add_report(f"{service}-1", service, report, 1.0)
    return graph


class CallEstimatorTest(unittest.TestCase):

    def test_calls_per_run_are_estimated_for_each_route_of_a_target(self):
        # Orders make two calls per run and look-ups one. Both run at the same
        # target in a varying mix.
        rng = random.Random(3)
        estimator = CallEstimator()
        for _ in range(60):
            orders = rng.randint(0, 20)
            lookups = rng.randint(0, 40)
            calls = 2 * orders + lookups + rng.randint(-1, 1)
            estimator.record_window(
                {"order": orders, "lookup": lookups}, {"stock": max(0, calls)}
            )
        found = estimator.estimate("stock")
        self.assertAlmostEqual(found["order"], 2.0, delta=0.2)
        self.assertAlmostEqual(found["lookup"], 1.0, delta=0.2)

    def test_route_without_calls_is_estimated_as_zero(self):
        rng = random.Random(4)
        estimator = CallEstimator()
        for _ in range(60):
            plain = rng.randint(0, 30)
            deep = rng.randint(0, 30)
            estimator.record_window(
                {"plain": plain, "deep": deep}, {"leaf": 5 * deep}
            )
        found = estimator.estimate("leaf")
        self.assertAlmostEqual(found["deep"], 5.0, delta=0.3)
        self.assertLess(found.get("plain", 0.0), 0.3)

    def test_estimate_is_empty_without_runs(self):
        self.assertEqual(CallEstimator().estimate("leaf"), {})


class CallGraphTest(unittest.TestCase):

    def test_routes_of_callers_and_targets_are_classified(self):
        front = TrafficReport((RouteRate("browse", 8), RouteRate("look", 30)))
        leaf = TrafficReport((RouteRate("browse", 9),))
        graph = make_graph(front=front, leaf=leaf)
        self.assertTrue(graph.is_external("browse"))
        self.assertTrue(graph.is_internal("look"))
        self.assertFalse(graph.is_external("look"))

    def test_rare_route_is_not_classified(self):
        report = TrafficReport((RouteRate("probe", 0.1),))
        graph = make_graph(front=report, leaf=TrafficReport())
        self.assertFalse(
            graph.is_external("probe") or graph.is_internal("probe")
        )

    def test_routes_are_not_classified_with_one_service(self):
        graph = make_graph(front=TrafficReport((RouteRate("a", 9),)))
        self.assertFalse(graph.is_external("a") or graph.is_internal("a"))

    def test_runs_are_counted_over_the_call_tree(self):
        calls = (
            CallShare("browse", "look", 2.0),
            CallShare("look", "leaf", 5.0),
        )
        rates = (RouteRate("look", 30), RouteRate("leaf", 90))
        graph = make_graph(
            front=TrafficReport(rates, calls), leaf=TrafficReport()
        )
        counts = graph.count_runs("browse")
        self.assertEqual(counts, {"browse": 1.0, "look": 2.0, "leaf": 10.0})

    def test_cycle_of_calls_is_cut_off(self):
        calls = (CallShare("a", "b", 1.0), CallShare("b", "a", 1.0))
        rates = (RouteRate("a", 30), RouteRate("b", 90))
        graph = make_graph(
            front=TrafficReport(rates, calls), leaf=TrafficReport()
        )
        self.assertGreater(graph.count_runs("a")["a"], 1.0)

    def test_old_reports_expire(self):
        graph = make_graph(
            front=TrafficReport((RouteRate("look", 30),)), leaf=TrafficReport()
        )
        for service in ("front", "leaf"):
            report = TrafficReport((RouteRate("browse", 5),))
            graph.add_report(f"{service}-2", service, report, 60.0)
        self.assertFalse(graph.is_internal("look"))


if __name__ == "__main__":
    unittest.main()
