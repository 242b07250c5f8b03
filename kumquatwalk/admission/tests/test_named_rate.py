"""Tests of the rate that a target names, in virtual time."""

import bisect
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk import codes
from kumquatwalk.admission.bucket import BURST_S
from kumquatwalk.admission.named_rate import END_DELAY_S
from kumquatwalk.admission.named_rate import PROVISIONAL_PER_S
from kumquatwalk.admission.named_rate import RATE_MIN_PER_S
from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import TargetLimiter
from kumquatwalk.targets.rate_limit import NO_RATE_LIMIT
from kumquatwalk.targets.rate_limit import RateLimit

# The operators' rule on what a target may get beyond the rate that it names.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
TICK_S = 0.05
RUN_S = 0.1


def play(rate, arrivals, duration_s, deadline_s=2.0):
    """Play calls at a limiter; return the times at which they started."""
    limiter = TargetLimiter()
    limiter.open(100)
    limiter.named_rate.observe(RateLimit(True, rate), 0.0)
    started, ends = [], []
    key = 0
    pending = sorted(arrivals)
    now = 0.0
    while now < duration_s:
        while ends and ends[0][0] <= now:
            _, ended = ends.pop(0)
            keys, _ = limiter.finish(ended, RUN_S, now)
            for item in keys:
                started.append(now)
                bisect.insort(ends, (now + RUN_S, item))
        while pending and pending[0] <= now:
            pending.pop(0)
            key += 1
            call = AdmissionRequest(
                key, "r", 0, False, now + deadline_s, now + deadline_s
            )
            if limiter.submit(call, now)[0]:
                started.append(now)
                bisect.insort(ends, (now + RUN_S, key))
        limiter.expire(now)
        for item in limiter.dispatch(now)[0]:
            started.append(now)
            bisect.insort(ends, (now + RUN_S, item))
        now += TICK_S
    return started


def count_most_in_window(times):
    """Return the most starts in any window."""
    return max(
        (
            bisect.bisect(times, begin + WINDOW_S) - index
            for index, begin in enumerate(times)
        ),
        default=0,
    )


class NamedRateTest(unittest.TestCase):

    # Guards against LIMIT: a target got several times the rate that it named.
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.floats(0.0, 60.0),
        st.lists(st.floats(0.0, 12.0), max_size=400),
        st.integers(0, 200),
    )
    def test_starts_in_any_window_stay_within_the_rule(
        self, rate, arrivals, burst
    ):
        times = play(rate, arrivals + [3.0] * burst, 14.0)
        self.assertLessEqual(
            count_most_in_window(times), FACTOR * rate * WINDOW_S + SLACK
        )

    def test_named_rate_is_used_under_steady_load(self):
        arrivals = [n * 0.02 for n in range(500)]
        for rate in (4.0, 28.2, 40.0):
            with self.subTest(rate):
                times = play(rate, arrivals, 10.0)
                self.assertGreater(len(times), 0.9 * rate * 10.0)

    def test_call_over_the_rate_is_refused_with_the_time_until_its_turn(self):
        limiter = TargetLimiter()
        limiter.open(100)
        limiter.named_rate.observe(RateLimit(True, 2.0), 0.0)
        outcomes = [
            limiter.submit(AdmissionRequest(n, "r", 0, False, 9.0, 0.8), 0.0)
            for n in range(4)
        ]
        self.assertEqual([o[0] for o in outcomes], [True, True, False, False])
        refusals = [o[1] for o in outcomes]
        self.assertEqual(refusals[:3], [[], [], []])
        self.assertEqual(refusals[3][0].code, codes.OVERLOADED)
        self.assertAlmostEqual(refusals[3][0].retry_after_s, 1.0)

    def test_limit_is_published_as_the_concurrency_that_it_allows(self):
        limiter = TargetLimiter()
        limiter.open(100)
        limiter.run_times.record("r", 0.5)
        self.assertEqual(limiter.effective_limit, limiter.limit)
        limiter.named_rate.observe(RateLimit(True, 20.0), 0.0)
        self.assertEqual(limiter.effective_limit, 10)
        limiter.named_rate.observe(RateLimit(True, 1e9), 0.0)
        self.assertEqual(limiter.effective_limit, limiter.limit)

    def test_limit_ends_with_a_response_that_names_none(self):
        rate = TargetLimiter().named_rate
        rate.observe(RateLimit(True, 5.0), 1.0)
        self.assertFalse(rate.observe(NO_RATE_LIMIT, 1.0 + END_DELAY_S / 2))
        self.assertEqual(rate.per_s, 5.0)
        self.assertFalse(rate.observe(RateLimit(True, None), 9.0))
        self.assertEqual(rate.per_s, 5.0)
        self.assertTrue(rate.observe(NO_RATE_LIMIT, 9.0 + END_DELAY_S))
        self.assertIsNone(rate.per_s)
        self.assertTrue(rate.has_token(9.0 + END_DELAY_S))

    def test_few_calls_start_before_the_first_response(self):
        limiter = TargetLimiter()
        limiter.open(100)
        limiter.named_rate.expect_response(1000.0)
        for n in range(50):
            call = AdmissionRequest(n, "r", 0, False, 1009.0, 1009.0)
            limiter.submit(call, 1000.0)
        burst = PROVISIONAL_PER_S * BURST_S
        self.assertEqual(limiter.running, burst)
        limiter.dispatch(1000.201)
        self.assertEqual(limiter.running, burst + 0.2 * PROVISIONAL_PER_S)
        limiter.named_rate.observe(NO_RATE_LIMIT, 1000.2)
        limiter.dispatch(1000.2)
        self.assertEqual(limiter.running, 50)

    def test_calls_before_the_first_response_count_towards_its_limit(self):
        rate = TargetLimiter().named_rate
        rate.expect_response(0.0)
        for _ in range(8):
            rate.take()
        rate.observe(RateLimit(True, 2.0), 0.3)
        self.assertFalse(rate.has_token(3.0))
        self.assertTrue(rate.has_token(4.0))

    def test_rate_of_zero_lets_a_call_through_now_and_then(self):
        times = play(0.0, [n * 0.1 for n in range(200)], 20.0)
        self.assertGreaterEqual(len(times), 20.0 * RATE_MIN_PER_S * 0.9)
        self.assertLessEqual(count_most_in_window(times), SLACK)


if __name__ == "__main__":
    unittest.main()
