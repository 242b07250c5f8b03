"""Tests of learning which routes call which, without network."""

import random
import unittest

from kumquatwalk.routing.call_estimator import CallEstimator
from kumquatwalk.routing.call_graph import CallGraph
from kumquatwalk.routing.call_graph import CallShare
from kumquatwalk.routing.call_graph import RouteRate
from kumquatwalk.routing.call_graph import TrafficReport


def make_graph(**reports: TrafficReport) -> CallGraph:
    """Return a graph of one node for each service."""
    graph = CallGraph()
    for _ in range(2):
        for service, report in reports.items():
            graph.take_report(f"{service}-1", service, report, 1.0)
    return graph


class CallEstimatorTest(unittest.TestCase):

    def test_two_routes_of_a_target_with_different_calls_are_told_apart(self):
        # Pattern: orders make two calls a run and look-ups one, and both run
        # at the same targets in a mix that varies.
        rng = random.Random(3)
        estimator = CallEstimator()
        for _ in range(60):
            orders = rng.randint(0, 20)
            lookups = rng.randint(0, 40)
            calls = 2 * orders + lookups + rng.randint(-1, 1)
            estimator.note_window(
                {"order": orders, "lookup": lookups}, {"stock": max(0, calls)}
            )
        found = estimator.estimate("stock")
        self.assertAlmostEqual(found["order"], 2.0, delta=0.2)
        self.assertAlmostEqual(found["lookup"], 1.0, delta=0.2)

    def test_route_that_makes_no_calls_is_told_apart(self):
        rng = random.Random(4)
        estimator = CallEstimator()
        for _ in range(60):
            plain = rng.randint(0, 30)
            deep = rng.randint(0, 30)
            estimator.note_window(
                {"plain": plain, "deep": deep}, {"leaf": 5 * deep}
            )
        found = estimator.estimate("leaf")
        self.assertAlmostEqual(found["deep"], 5.0, delta=0.3)
        self.assertLess(found.get("plain", 0.0), 0.3)

    def test_first_windows_do_not_lay_all_calls_on_a_rare_route(self):
        # Pattern: a surge of one kind of request begins; calls of its runs
        # fall into the next window by chance. In each of the first windows the
        # rare kind must not look many times dearer than the common one.
        for seed in range(40):
            rng = random.Random(seed)
            estimator = CallEstimator()
            behind = 0
            for _ in range(12):
                browse = round(rng.gauss(30, 6))
                late = round(rng.uniform(0.05, 0.3) * browse)
                estimator.note_window(
                    {"browse": browse, "renew": rng.randint(2, 6)},
                    {"verify": browse - late + behind},
                )
                behind = late
                found = estimator.estimate("verify")
                self.assertLess(found.get("renew", 0.0), 2.0)
                self.assertGreater(found["browse"], 0.5)

    def test_calls_whose_run_is_known_are_laid_on_no_other_route(self):
        # Pattern: two routes at constant rates, of which one makes all calls;
        # counts of windows alone could not tell them apart.
        estimator = CallEstimator()
        for _ in range(4):
            estimator.note_window(
                {"order": 10, "plain": 30},
                {"leaf": 50},
                {("order", "leaf"): 40},
            )
        found = estimator.estimate("leaf")
        self.assertAlmostEqual(found["order"], 5.0, delta=0.3)
        self.assertLess(found.get("plain", 0.0), 0.1)

    def test_few_known_calls_do_not_speak_for_the_others(self):
        # Pattern: most calls have a deadline of their own, which names no run.
        estimator = CallEstimator()
        for _ in range(4):
            estimator.note_window(
                {"order": 10, "other": 10},
                {"leaf": 60},
                {("order", "leaf"): 2},
            )
        found = estimator.estimate("leaf")
        self.assertGreater(found["other"], 2.0)

    def test_runs_that_fail_do_not_hide_what_sound_ones_call(self):
        # Pattern: a surge refuses calls deep in the chain; a run that fails
        # makes fewer calls, and a front that believed them would let more in.
        estimator = CallEstimator()
        for _ in range(10):
            estimator.note_window({"order": 20}, {"leaf": 120})
        for _ in range(20):
            estimator.note_window(
                {"order": 40}, {"leaf": 60}, failure_share=0.8
            )
        self.assertGreater(estimator.estimate("leaf")["order"], 5.0)

    def test_failing_runs_are_believed_while_there_are_no_others(self):
        estimator = CallEstimator()
        for _ in range(3):
            estimator.note_window(
                {"order": 40}, {"leaf": 60}, failure_share=1.0
            )
        self.assertAlmostEqual(
            estimator.estimate("leaf")["order"], 1.5, delta=0.1
        )

    def test_nothing_is_known_without_runs(self):
        self.assertEqual(CallEstimator().estimate("leaf"), {})


class CallGraphTest(unittest.TestCase):

    def test_routes_of_callers_and_of_targets_are_told_apart(self):
        front = TrafficReport((RouteRate("browse", 8), RouteRate("look", 30)))
        leaf = TrafficReport((RouteRate("browse", 9),))
        graph = make_graph(front=front, leaf=leaf)
        self.assertTrue(graph.is_outer("browse"))
        self.assertTrue(graph.is_inner("look"))
        self.assertFalse(graph.is_outer("look"))

    def test_rare_route_is_neither(self):
        report = TrafficReport((RouteRate("probe", 0.1),))
        graph = make_graph(front=report, leaf=TrafficReport())
        self.assertFalse(graph.is_outer("probe") or graph.is_inner("probe"))

    def test_nothing_is_told_apart_by_one_service(self):
        graph = make_graph(front=TrafficReport((RouteRate("a", 9),)))
        self.assertFalse(graph.is_outer("a") or graph.is_inner("a"))

    def test_runs_are_counted_along_the_chain(self):
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

    def test_loop_of_calls_ends(self):
        calls = (CallShare("a", "b", 1.0), CallShare("b", "a", 1.0))
        rates = (RouteRate("a", 30), RouteRate("b", 90))
        graph = make_graph(
            front=TrafficReport(rates, calls), leaf=TrafficReport()
        )
        self.assertGreater(graph.count_runs("a")["a"], 1.0)

    def test_old_reports_count_no_more(self):
        graph = make_graph(
            front=TrafficReport((RouteRate("look", 30),)), leaf=TrafficReport()
        )
        for service in ("front", "leaf"):
            report = TrafficReport((RouteRate("browse", 5),))
            graph.take_report(f"{service}-2", service, report, 60.0)
        self.assertFalse(graph.is_inner("look"))


if __name__ == "__main__":
    unittest.main()
