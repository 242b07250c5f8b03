"""Tests of the retry budgets while the targets of a service refuse calls."""

import unittest
from unittest import mock

from kumquatwalk.daemon.retry_budgets import RetryBudgets
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.routing.call_graph import CallGraph


class RetryBudgetsTest(unittest.TestCase):

    def setUp(self):
        peers = mock.Mock(count=10)
        peers.list_all_views.return_value = []
        self.budgets = RetryBudgets(FleetBounds(), peers, CallGraph(), True)
        for number in range(1000):
            self.budgets.record_first_attempt("deep", number / 100.0)

    def _spend_all(self, may_use_reserve: bool) -> int:
        spent = 0
        while self.budgets.try_spend("deep", "r", 10.0, may_use_reserve):
            spent += 1
        return spent

    def test_others_leave_the_reserve_to_important_requests(self):
        self.assertEqual(self.budgets.list_refusals(10.0), ())
        for _ in range(20):
            self.budgets.record_arrival("deep", True, 3, 10.0)
        (row,) = self.budgets.list_refusals(10.0)
        self.assertEqual((row.service, row.attempts_max), ("deep", 3))
        self.assertGreater(row.retries_per_s, 0.0)
        self.assertGreater(self._spend_all(False), 0)
        self.assertGreater(self._spend_all(True), 0)

    # Guards against retries that are saved for nobody.
    def test_retries_are_paced_only_while_requests_are_limited(self):
        counts = []
        for is_limited in (True, False):
            self.setUp()
            self.budgets.limits_requests = lambda limited=is_limited: limited
            for tenth in range(70, 101):
                self.budgets.record_arrival("deep", True, 3, tenth / 10.0)
            counts.append(self._spend_all(True))
        self.assertGreater(counts[1], 3 * counts[0])

    # Guards against a change for deployments that have not asked for it.
    def test_nothing_is_saved_unless_the_settings_ask_for_it(self):
        peers = mock.Mock(count=10)
        peers.list_all_views.return_value = []
        self.budgets = RetryBudgets(FleetBounds(), peers, CallGraph())
        for number in range(1000):
            self.budgets.record_first_attempt("deep", number / 100.0)
            self.budgets.record_arrival("deep", True, 3, 10.0)
        self.assertEqual(self.budgets.list_refusals(10.0), ())
        self.assertGreater(self._spend_all(False), 100)

    def test_all_may_spend_the_whole_budget_without_refusals(self):
        self.assertGreater(self._spend_all(False), 100)
        self.assertEqual(self._spend_all(True), 0)


if __name__ == "__main__":
    unittest.main()
