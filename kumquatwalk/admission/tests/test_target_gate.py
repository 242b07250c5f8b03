"""Unit tests of the concurrency limiter of one target."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk import codes
from kumquatwalk.admission.target_limiter import AdmissionRequest
from kumquatwalk.admission.target_limiter import TargetLimiter


def make_call(key: int, **changes) -> AdmissionRequest:
    """Return a call with default values, changed by the arguments."""
    values = {
        "key": key,
        "route": "r",
        "rank": 2,
        "is_preferred": False,
        "deadline": 10.0,
    }
    values.update(changes)
    values.setdefault("start_by", values["deadline"])
    return AdmissionRequest(**values)


def make_limiter(slots: int) -> TargetLimiter:
    """Return a limiter that accepts calls for a target with these slots."""
    limiter = TargetLimiter()
    limiter.open(slots)
    return limiter


class TargetGateTest(unittest.TestCase):

    def test_closed_limiter_refuses(self):
        limiter = TargetLimiter()
        runs, refused = limiter.submit(make_call(1), 0.0)
        self.assertFalse(runs)
        self.assertEqual(refused[0].code, codes.TARGET_ABSENT)

    def test_no_more_calls_run_than_the_limit(self):
        limiter = make_limiter(10)
        started = [limiter.submit(make_call(i), 0.0)[0] for i in range(20)]
        self.assertEqual(sum(started), limiter.limit)
        self.assertLess(limiter.limit, 10)

    def test_calls_run_by_rank_and_then_by_preference(self):
        limiter = make_limiter(1)
        limiter.submit(make_call(1), 0.0)
        limiter.submit(make_call(2, rank=2), 0.0)
        limiter.submit(make_call(3, rank=2, is_preferred=True), 0.0)
        limiter.submit(make_call(4, rank=0), 0.0)
        order = []
        running = 1
        for _ in range(3):
            (running,), _ = limiter.finish(running, 0.1, 0.1)
            order.append(running)
        self.assertEqual(order, [4, 3, 2])

    def test_call_that_cannot_end_in_time_is_refused_immediately(self):
        limiter = make_limiter(1)
        limiter.submit(make_call(1), 0.0)
        limiter.run_times.record("r", 1.0)
        _, refused = limiter.submit(make_call(2, deadline=0.5), 0.0)
        self.assertEqual([r.key for r in refused], [2])
        self.assertGreater(refused[0].retry_after_s, 0.0)

    def test_queued_call_is_refused_when_it_can_no_longer_end_in_time(self):
        limiter = make_limiter(1)
        limiter.submit(make_call(1), 0.0)
        limiter.submit(make_call(2, deadline=1.0), 0.0)
        self.assertEqual(limiter.expire(0.5), [])
        self.assertEqual([r.key for r in limiter.expire(0.99)], [2])
        self.assertEqual(limiter.queued, 0)

    def test_queued_call_is_refused_after_its_latest_start(self):
        # During a long overload a caller that is refused early can retry in
        # time; one that waits until its deadline cannot.
        limiter = make_limiter(1)
        limiter.submit(make_call(1), 0.0)
        limiter.submit(make_call(2, start_by=0.3), 0.0)
        self.assertEqual(limiter.expire(0.2), [])
        self.assertEqual([r.key for r in limiter.expire(0.31)], [2])

    def test_slot_that_frees_late_starts_no_call_after_its_latest_start(self):
        limiter = make_limiter(1)
        limiter.submit(make_call(1), 0.0)
        limiter.submit(make_call(2, start_by=0.3), 0.0)
        limiter.submit(make_call(3), 0.0)
        started, refused = limiter.finish(1, 0.1, 0.31)
        self.assertEqual(started, [3])
        self.assertEqual(
            [(r.key, r.code) for r in refused], [(2, "overloaded")]
        )

    def test_full_queue_evicts_the_last_call_for_a_higher_rank(self):
        limiter = make_limiter(1)
        key = 0
        while limiter.queued < 4:
            key += 1
            limiter.submit(make_call(key, deadline=1e6), 0.0)
        _, refused = limiter.submit(make_call(99, rank=0, deadline=1e6), 0.0)
        self.assertEqual([r.key for r in refused], [key])
        self.assertEqual(refused[0].code, codes.QUEUE_FULL)

    def test_closing_refuses_what_waits_and_lets_the_rest_run(self):
        limiter = make_limiter(1)
        limiter.submit(make_call(1), 0.0)
        limiter.submit(make_call(2), 0.0)
        refused = limiter.close(codes.TARGET_LEAVING)
        self.assertEqual([r.key for r in refused], [2])
        self.assertEqual(limiter.running, 1)

    def test_overestimated_run_time_does_not_refuse_all_calls(self):
        # A target was slow for a while and is fast again. Its mean run time was
        # measured on runs that ended at their deadlines. If it kept calls out,
        # no run could correct it.
        limiter = make_limiter(4)
        for _ in range(100):
            limiter.run_times.record("r", 0.8)
        runs, _ = limiter.submit(make_call(1, deadline=0.8), 0.0)
        self.assertTrue(runs)

    def test_shed_calls_lower_the_limit_and_runs_restore_it(self):
        limiter = make_limiter(20)
        before = limiter.limit
        limiter.record_shed(1.0)
        self.assertLess(limiter.limit, before)
        for i in range(100):
            limiter.submit(make_call(i, deadline=1e6), 2.0)
            limiter.finish(i, 0.1, 2.0)
        self.assertEqual(limiter.limit, before)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_each_call_is_started_or_refused_exactly_once(self, seed):
        rng = random.Random(seed)
        limiter = make_limiter(rng.randint(1, 6))
        now = 0.0
        running: set[int] = set()
        settled: list[int] = []
        for key in range(60):
            now += rng.random() * 0.1
            deadline = now + rng.random()
            call = make_call(key, rank=rng.randint(0, 2), deadline=deadline)
            runs, refused = limiter.submit(call, now)
            started = [key] if runs else []
            if running and rng.random() < 0.7:
                done = running.pop()
                also_started, also_refused = limiter.finish(
                    done, rng.random(), now
                )
                started += also_started
                refused += also_refused
            refused += limiter.expire(now)
            settled += started + [r.key for r in refused]
            running.update(started)
            self.assertLessEqual(len(running), limiter.limit)
        settled += [r.key for r in limiter.close("x")]
        self.assertEqual(sorted(settled), list(range(60)))


if __name__ == "__main__":
    unittest.main()
