"""Tests of the rate limiter for log events."""

import unittest

from kumquatwalk.logs.rate_limiter import EVENT_NAMES_MAX
from kumquatwalk.logs.rate_limiter import EventRateLimiter
from kumquatwalk.logs.rate_limiter import RateDecision


class EventRateLimiterTest(unittest.TestCase):

    def test_next_window_reports_suppressed_events(self):
        limiter = EventRateLimiter(events_per_window=2)
        decisions = [limiter.check("x", now=5.0 + i / 10) for i in range(5)]
        admitted = [decision.admitted for decision in decisions]
        self.assertEqual(admitted, [True, True, False, False, False])
        self.assertEqual(limiter.check("x", now=6.0), RateDecision(True, 3))
        self.assertEqual(limiter.check("x", now=7.5), RateDecision(True, 0))

    def test_names_have_separate_limits(self):
        limiter = EventRateLimiter(events_per_window=1)
        self.assertTrue(limiter.check("x", now=0.0).admitted)
        self.assertTrue(limiter.check("y", now=0.0).admitted)
        self.assertFalse(limiter.check("x", now=0.0).admitted)
        self.assertEqual(limiter.take_suppressed(), {"x": 1})

    def test_excess_names_share_one_window(self):
        limiter = EventRateLimiter(events_per_window=1)
        for i in range(EVENT_NAMES_MAX):
            limiter.check(f"event_{i}", now=0.0)
        self.assertTrue(limiter.check("new_1", now=0.0).admitted)
        self.assertFalse(limiter.check("new_2", now=0.0).admitted)
