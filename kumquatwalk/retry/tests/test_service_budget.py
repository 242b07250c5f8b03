"""Unit tests of the retry budget of a service."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.retry.service_budget import RetryAllowance
from kumquatwalk.retry.service_budget import ServiceRetryBudget

ALLOWANCE = RetryAllowance(ratio=0.2, slack=48.0, window_s=10.0)


class ServiceRetryBudgetTest(unittest.TestCase):

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.integers(1, 40),
        st.lists(
            st.tuples(st.floats(0, 0.5), st.booleans(), st.integers(0, 39)),
            max_size=400,
        ),
    )
    def test_fleet_stays_within_the_bound_in_every_window(self, nodes, steps):
        # All targets fail all requests, so that each node attempts to retry all
        # of its requests.
        budgets = [ServiceRetryBudget(ALLOWANCE) for _ in range(nodes)]
        now = 0.0
        first_attempts: list[float] = []
        retries: list[float] = []
        for gap_s, is_first, index in steps:
            now += gap_s
            budget = budgets[index % nodes]
            if is_first:
                budget.record_first_attempt(now)
                first_attempts.append(now)
            elif budget.allows_retry(nodes, 1.0, now):
                budget.spend(1.0, now)
                retries.append(now)
        for end in retries:
            start = end - ALLOWANCE.window_s
            retried = sum(start < t <= end for t in retries)
            # A first attempt counts in its own window and in the next one.
            attempted = sum(
                start - ALLOWANCE.window_s < t <= end for t in first_attempts
            )
            bound = ALLOWANCE.ratio * attempted + ALLOWANCE.slack
            self.assertLessEqual(retried, bound)

    def test_first_attempts_before_the_window_allow_no_retries(self):
        budget = ServiceRetryBudget(ALLOWANCE)
        for _ in range(1000):
            budget.record_first_attempt(0.0)
        self.assertFalse(budget.allows_retry(1000, 1.0, 30.0))


class RefusingServiceTest(unittest.TestCase):

    def setUp(self):
        self.budget = ServiceRetryBudget(ALLOWANCE)
        for tenth in range(100):
            for _ in range(80):
                self.budget.record_first_attempt(tenth / 10.0)

    def _spend_all(self, refusing_s, may_use_reserve, now) -> int:
        spent = 0
        while self.budget.allows_retry(
            10, 1.0, now, refusing_s, may_use_reserve
        ):
            self.budget.spend(1.0, now)
            spent += 1
        return spent

    # Guards against a budget that is gone before the ingress admits less.
    def test_budget_is_paced_while_targets_refuse_calls(self):
        first_second = self._spend_all(0.0, True, 10.0)
        self.assertGreater(first_second, 0)
        rate = self.budget.estimate_rate(10, 0.0, 10.0)
        self.assertLessEqual(first_second, rate + 1.0)
        self.assertLess(8.0 * rate, 0.2 * 8000)
        self.assertGreater(self._spend_all(None, True, 10.0), 8 * first_second)

    def test_a_part_is_reserved(self):
        others = self._spend_all(3.0, False, 10.0)
        self.assertGreater(others, 0)
        self.assertEqual(self._spend_all(3.0, False, 10.0), 0)
        self.assertGreater(self._spend_all(3.0, True, 10.0), 0)

    def test_nothing_is_reserved_without_refusals(self):
        self.assertEqual(
            self._spend_all(None, False, 10.0), int(0.6 * (0.2 * 7200 + 4.8))
        )


if __name__ == "__main__":
    unittest.main()
