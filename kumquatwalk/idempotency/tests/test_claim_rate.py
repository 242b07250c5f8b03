"""Tests of the adaptive rate of claim writes."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.idempotency import claim_rate
from kumquatwalk.idempotency.claim_rate import ClaimRate

STORE_RATE_PER_S = 300.0
NODES = 200
STEP_S = 0.5


class ClaimRateTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 10), st.booleans())))
    def test_rate_stays_within_its_limits(self, answers):
        rate = ClaimRate()
        for now, (elapsed_s, is_answered) in enumerate(answers):
            per_s = rate.update(elapsed_s, is_answered, float(now))
            self.assertGreaterEqual(per_s, claim_rate.MIN_RATE_PER_S)
            self.assertLessEqual(per_s, claim_rate.MAX_RATE_PER_S)

    def test_many_nodes_converge_to_the_rate_of_the_store(self):
        rates = [ClaimRate() for _ in range(NODES)]
        per_s = [claim_rate.INITIAL_RATE_PER_S] * NODES
        totals = []
        for step in range(200):
            now = step * STEP_S
            elapsed_s = 1.0 if sum(per_s) > STORE_RATE_PER_S else 0.004
            per_s = [r.update(elapsed_s, True, now) for r in rates]
            totals.append(sum(per_s))
        self.assertLessEqual(max(totals[10:]), 2 * STORE_RATE_PER_S)
        self.assertGreaterEqual(min(totals[10:]), STORE_RATE_PER_S / 4)

    def test_failures_within_one_interval_lower_the_rate_once(self):
        rate = ClaimRate()
        first = rate.update(1.0, False, 1.0)
        second = rate.update(1.0, False, 1.1)
        self.assertEqual(first, second)
