"""Tests of the limit on repeated events."""

import unittest

from kumquatwalk.logs.rate_limiter import EVENT_NAMES_MAX
from kumquatwalk.logs.rate_limiter import EventRateLimiter
from kumquatwalk.logs.rate_limiter import RateVerdict


class EventRateLimiterTest(unittest.TestCase):

    def test_next_window_reports_what_was_left_out(self):
        limiter = EventRateLimiter(events_per_window=2)
        verdicts = [limiter.judge("x", now=5.0 + i / 10) for i in range(5)]
        admitted = [verdict.admitted for verdict in verdicts]
        self.assertEqual(admitted, [True, True, False, False, False])
        self.assertEqual(limiter.judge("x", now=6.0), RateVerdict(True, 3))
        self.assertEqual(limiter.judge("x", now=7.5), RateVerdict(True, 0))

    def test_names_are_limited_apart(self):
        limiter = EventRateLimiter(events_per_window=1)
        self.assertTrue(limiter.judge("x", now=0.0).admitted)
        self.assertTrue(limiter.judge("y", now=0.0).admitted)
        self.assertFalse(limiter.judge("x", now=0.0).admitted)
        self.assertEqual(limiter.take_suppressed(), {"x": 1})

    def test_many_names_share_one_window(self):
        limiter = EventRateLimiter(events_per_window=1)
        for i in range(EVENT_NAMES_MAX):
            limiter.judge(f"event_{i}", now=0.0)
        self.assertTrue(limiter.judge("new_1", now=0.0).admitted)
        self.assertFalse(limiter.judge("new_2", now=0.0).admitted)
