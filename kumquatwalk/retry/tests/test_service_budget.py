"""Tests of the bound on repeated arrivals, without network."""

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
    def test_fleet_keeps_the_bound_in_every_window(self, nodes, steps):
        # Pattern: every target fails everything, so that each request asks to
        # be sent again at whichever node it came to.
        budgets = [ServiceRetryBudget(ALLOWANCE) for _ in range(nodes)]
        now = 0.0
        first: list[float] = []
        repeated: list[float] = []
        for gap_s, is_first, index in steps:
            now += gap_s
            budget = budgets[index % nodes]
            if is_first:
                budget.note_first(now)
                first.append(now)
            elif budget.has_room(nodes, 1.0, now):
                budget.spend(1.0, now)
                repeated.append(now)
        for end in repeated:
            start = end - ALLOWANCE.window_s
            again = sum(start < t <= end for t in repeated)
            # A request counts in the window it came in or the one before.
            asked = sum(start - ALLOWANCE.window_s < t <= end for t in first)
            bound = ALLOWANCE.ratio * asked + ALLOWANCE.slack
            self.assertLessEqual(again, bound)

    def test_old_arrivals_allow_nothing(self):
        budget = ServiceRetryBudget(ALLOWANCE)
        for _ in range(1000):
            budget.note_first(0.0)
        self.assertFalse(budget.has_room(1000, 1.0, 30.0))


if __name__ == "__main__":
    unittest.main()
