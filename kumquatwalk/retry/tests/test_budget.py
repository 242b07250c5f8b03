"""Tests of the retry budget of a node."""

import unittest

from kumquatwalk.retry.budget import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Retries stay under a tenth of the successes."""

    def count_retries(self, budget, now):
        """Return how many retries the budget allows at once."""
        count = 0
        while budget.allows(now) and count < 1000:
            budget.note_retry(now)
            count += 1
        return count

    def test_ratio_and_minimum(self):
        budget = RetryBudget()
        self.assertEqual(self.count_retries(budget, 0.0), 3)
        for _ in range(100):
            budget.note_success(1.0)
        self.assertEqual(self.count_retries(budget, 1.0), 10)

    def test_window_slides(self):
        budget = RetryBudget()
        for _ in range(100):
            budget.note_success(0.0)
        self.assertEqual(self.count_retries(budget, 5.0), 13)
        self.assertEqual(self.count_retries(budget, 10.0), 0)
        self.assertEqual(self.count_retries(budget, 15.0), 3)
