"""Unit tests of the call graph and the estimator of calls per run."""

import random
import sys
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


def count_steps(work) -> int:
    """Return how many lines and calls of Python a function executes."""
    steps = 0

    def trace(_frame, _event, _arg):
        nonlocal steps
        steps += 1
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(previous)
    return steps


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

    def test_failed_runs_do_not_hide_what_sound_ones_call(self):
        # Pattern: a surge refuses calls deep in the chain. A run that fails
        # makes fewer calls; an ingress that believed them would admit more.
        estimator = CallEstimator()
        for _ in range(10):
            estimator.record_window({"order": 20}, {"leaf": 120}, 0.0)
        for _ in range(20):
            estimator.record_window({"order": 40}, {"leaf": 60}, 0.8)
        self.assertGreater(estimator.estimate("leaf")["order"], 5.0)

    def test_failed_runs_are_believed_while_there_are_no_others(self):
        estimator = CallEstimator()
        for _ in range(3):
            estimator.record_window({"order": 40}, {"leaf": 60}, 1.0)
        self.assertAlmostEqual(
            estimator.estimate("leaf")["order"], 1.5, delta=0.1
        )

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

    def test_weakest_call_of_a_cycle_is_left_out(self):
        # A run cannot cause a run of its own route, so the cycle is an error of
        # the estimate; counted, it would multiply the runs at every level.
        calls = (
            CallShare("a", "b", 1.0),
            CallShare("b", "a", 0.4),
            CallShare("a", "a", 0.9),
        )
        rates = (RouteRate("a", 30), RouteRate("b", 90))
        graph = make_graph(
            front=TrafficReport(rates, calls), leaf=TrafficReport()
        )
        self.assertEqual(graph.count_runs("a"), {"a": 1.0, "b": 1.0})
        self.assertEqual(graph.count_runs("b"), {"b": 1.0})

    def test_steps_are_linear_in_the_calls_of_the_graph(self):
        # Each route calls all later ones: the paths double with each route.
        for size in (8, 16, 60):
            routes = [f"r{i:02}" for i in range(size)]
            calls = tuple(
                CallShare(route, called, 1.0)
                for i, route in enumerate(routes)
                for called in routes[i + 1 :]
            )
            rates = tuple(RouteRate(r, 30) for r in routes)
            graph = make_graph(
                front=TrafficReport(rates, calls), leaf=TrafficReport()
            )
            graph.is_internal("r00")
            steps = count_steps(lambda g=graph: g.count_runs("r00"))
            self.assertLess(steps, 40 * (len(calls) + size))
            self.assertEqual(graph.count_runs("r00")["r02"], 2.0)
            again = count_steps(lambda g=graph: g.count_runs("r00"))
            self.assertLess(again, 30)

    def test_dense_estimates_do_not_multiply_runs(self):
        # With every route estimated to call every other, the order of strength
        # is what is left.
        routes = [f"r{i}" for i in range(7)]
        calls = tuple(
            CallShare(a, b, 1.0) for a in routes for b in routes if a != b
        )
        rates = tuple(RouteRate(r, 30) for r in routes)
        graph = make_graph(
            front=TrafficReport(rates, calls), leaf=TrafficReport()
        )
        runs = graph.count_runs("r0")
        self.assertLessEqual(sum(runs.values()), 2.0 ** (len(routes) - 1))

    def test_many_routes_are_merged_in_steps_linear_in_their_number(self):
        steps = {}
        for size in (50, 200):
            routes = [f"r{i}" for i in range(size)]
            rates = tuple(RouteRate(r, 9) for r in routes)
            leaf = tuple(RouteRate(r, 9) for r in routes)
            calls = tuple(CallShare(r, "leaf", 1.0) for r in routes)
            report = TrafficReport(rates + (RouteRate("leaf", 90),), calls)
            graph = CallGraph()
            for i in range(8):
                graph.add_report(f"f{i}", "front", report, 1.0)
                graph.add_report(f"l{i}", "back", TrafficReport(leaf), 1.0)
            steps[size] = count_steps(lambda g=graph: g.count_runs("r0"))
        self.assertLess(steps[200], 5 * steps[50])

    def test_route_that_a_service_lacks_by_chance_is_not_internal(self):
        # One node of the service leaf, at 0.9 requests a second: nothing in
        # three seconds is no evidence that callers do not use the route.
        graph = make_graph(
            front=TrafficReport((RouteRate("browse", 0.9),)),
            leaf=TrafficReport(),
        )
        self.assertFalse(graph.is_internal("browse"))

    def test_rates_of_a_sample_are_scaled_to_the_fleet(self):
        graph = make_graph(
            front=TrafficReport((RouteRate("browse", 8),)),
            leaf=TrafficReport((RouteRate("browse", 6),)),
        )
        self.assertEqual(graph.sum_rates(), {"browse": 14})
        graph.set_populations({"front": 10, "leaf": 5})
        self.assertEqual(graph.sum_rates(), {"browse": 110})

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
