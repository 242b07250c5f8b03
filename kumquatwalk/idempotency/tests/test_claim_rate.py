"""Tests of the rate of claim writes."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.idempotency import claim_rate
from kumquatwalk.idempotency.claim_rate import ClaimRate

SERVICE_PER_S = 300.0
NODES = 200
STEP_S = 0.5


class ClaimRateTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 10), st.booleans())))
    def test_rate_stays_in_its_range(self, answers):
        rate = ClaimRate()
        for now, (elapsed_s, is_answered) in enumerate(answers):
            per_s = rate.note_answer(elapsed_s, is_answered, float(now))
            self.assertGreaterEqual(per_s, claim_rate.LEAST_PER_S)
            self.assertLessEqual(per_s, claim_rate.MOST_PER_S)

    def test_many_nodes_come_down_to_the_service_s_rate(self):
        rates = [ClaimRate() for _ in range(NODES)]
        per_s = [claim_rate.FIRST_PER_S] * NODES
        totals = []
        for step in range(200):
            now = step * STEP_S
            elapsed_s = 1.0 if sum(per_s) > SERVICE_PER_S else 0.004
            per_s = [r.note_answer(elapsed_s, True, now) for r in rates]
            totals.append(sum(per_s))
        self.assertLessEqual(max(totals[10:]), 2 * SERVICE_PER_S)
        self.assertGreaterEqual(min(totals[10:]), SERVICE_PER_S / 4)

    def test_one_bad_moment_slows_down_once(self):
        rate = ClaimRate()
        first = rate.note_answer(1.0, False, 1.0)
        second = rate.note_answer(1.0, False, 1.1)
        self.assertEqual(first, second)
