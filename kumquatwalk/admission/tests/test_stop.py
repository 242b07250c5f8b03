"""Tests of the admission of requests while the process stops."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st

from kumquatwalk.admission import recent_times
from kumquatwalk.admission.recent_times import RecentTimes
from kumquatwalk.admission.stop import DEADLINE_MARGIN_S
from kumquatwalk.admission.stop import REQUESTS_MIN
from kumquatwalk.admission.stop import RETRY_DELAY_MAX_S
from kumquatwalk.admission.stop import StopAdmission

WINDOW_S = recent_times.BUCKETS * recent_times.BUCKET_S
# Multiples of a power of two, so that sums of times are exact.
SECONDS = st.integers(0, 30 * 64).map(lambda n: n / 64)
# Time since the previous request, time that it took, whether it ran.
REQUESTS = st.lists(
    st.tuples(SECONDS, SECONDS, st.booleans()),
    max_size=30,
)
# Number of requests from which the longest time counts, in properties.
FEW = 3
FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)


class StopAdmissionTest(unittest.TestCase):

    def _make_gate(self, requests) -> tuple[StopAdmission, list, float]:
        """Return a gate that has seen requests, those that ran, and the time.

        A request that ran is given by the time of its end and its duration.
        """
        gate = StopAdmission(FEW)
        now = 1000.0
        changes = []
        for gap_s, taken_s, has_run in requests:
            now += gap_s
            changes.append((now, len(changes), None, has_run))
            changes.append((now + taken_s, len(changes), now, has_run))
        keys, ran = {}, []
        for at, _, began_at, has_run in sorted(changes, key=lambda c: c[:2]):
            if began_at is None:
                keys.setdefault(at, []).append(gate.begin("pay", at))
            else:
                gate.finish("pay", keys[began_at].pop(0), has_run, at)
                if has_run:
                    ran.append((at, at - began_at))
            now = max(now, at)
        return gate, ran, now

    @FIXED
    @hypothesis.given(REQUESTS, SECONDS, SECONDS, SECONDS)
    def test_all_is_admitted_until_a_stop_begins(
        self, requests, limit_s, objective_s, pause_s
    ):
        gate, _, now = self._make_gate(requests)
        now += pause_s
        self.assertTrue(gate.admits("pay", now + limit_s, objective_s, now))
        self.assertEqual(gate.refused, 0)

    # Guards against LOST: a target was handed time beyond the stop, or a call
    # that ends before the stop was shortened.
    @FIXED
    @hypothesis.given(SECONDS, SECONDS)
    def test_time_handed_to_a_target_ends_before_the_drain(
        self, limit_s, left_s
    ):
        gate, now = StopAdmission(), 1000.0
        self.assertEqual(gate.bound_deadline(now + limit_s, now), now + limit_s)
        gate.set_end(now + left_s)
        handed_s = gate.bound_deadline(now + limit_s, now) - now
        self.assertLessEqual(handed_s, limit_s)
        if limit_s < left_s:
            self.assertEqual(handed_s, limit_s)
        else:
            wanted_s = max(left_s / 2.0, left_s - DEADLINE_MARGIN_S)
            self.assertAlmostEqual(handed_s, wanted_s)

    @FIXED
    @hypothesis.given(REQUESTS, SECONDS, SECONDS, SECONDS)
    def test_what_is_admitted_can_end_before_the_drain(
        self, requests, limit_s, objective_s, left_s
    ):
        # Guards against LOST: a request is taken that is cut off at the end.
        gate, ran, now = self._make_gate(requests)
        gate.set_end(now + left_s)
        is_admitted = gate.admits("pay", now + limit_s, objective_s, now)
        recent = [s for at, s in ran if at > now - WINDOW_S + 1.0]
        expected_s = max(recent, default=0.0)
        # Requests in the bucket in which the window begins may count or not.
        if sum(at > now - WINDOW_S for at, _ in ran) < FEW:
            expected_s = math.inf
        if is_admitted:
            self.assertGreaterEqual(left_s, min(limit_s, expected_s))
        else:
            self.assertGreaterEqual(limit_s, left_s)
        self.assertEqual(gate.refused, not is_admitted)

    @FIXED
    @hypothesis.given(REQUESTS, st.lists(SECONDS, min_size=2, max_size=2))
    def test_more_time_left_never_turns_admission_into_refusal(
        self, requests, left_s
    ):
        results = []
        for seconds in sorted(left_s):
            gate, _, now = self._make_gate(requests)
            gate.set_end(now + seconds)
            results.append(gate.admits("pay", math.inf, 0.5, now))
        self.assertLessEqual(results[0], results[1])

    def test_age_of_a_request_in_progress_counts(self):
        gate = StopAdmission()
        for _ in range(REQUESTS_MIN):
            for route in ("pay", "other"):
                gate.finish(route, gate.begin(route, 0.0), True, 0.1)
        gate.begin("pay", 0.0)
        gate.set_end(5.0)
        self.assertTrue(gate.admits("pay", 60.0, 0.1, 1.0))
        self.assertFalse(gate.admits("pay", 60.0, 0.1, 2.5))
        self.assertTrue(gate.admits("other", 60.0, 0.1, 2.5))

    def test_one_long_request_turns_others_away_late_only(self):
        # Guards against the loss of worth at a stop: one long request of late
        # turned all others away while callers were still sent here.
        gate = StopAdmission()
        for number in range(REQUESTS_MIN):
            taken_s = 3.0 if number == 10 else 0.5
            gate.finish("pay", gate.begin("pay", 0.0), True, taken_s)
        gate.set_end(8.4, typical_until=5.6)
        self.assertTrue(gate.admits("pay", 60.0, 1.0, 5.5))
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 5.7))

    # Guards against the failure of runs that a stop waits for: their calls were
    # refused because one call of the route took long, or few were known.
    def test_nested_calls_are_judged_by_the_mean_until_the_end(self):
        gate = StopAdmission()
        for number in range(20):
            taken_s = 2.2 if number == 10 else 0.02
            gate.finish("pay", gate.begin("pay", 0.0), True, taken_s)
        gate.set_end(5.4, typical_until=2.6)
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 3.0))
        self.assertTrue(gate.admits("pay", 60.0, 1.0, 4.5, is_nested=True))
        self.assertTrue(gate.admits("other", 60.0, 0.5, 4.5, is_nested=True))
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 5.2, is_nested=True))

    def test_long_mean_turns_requests_away_at_once(self):
        gate = StopAdmission()
        gate.finish("pay", gate.begin("pay", 0.0), True, 3.0)
        gate.set_end(6.0, typical_until=5.6)
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 3.0))

    # Guards against LOST: a client could not take an answer that was made just
    # before the end.
    def test_time_to_take_the_answer_counts(self):
        gate = StopAdmission()
        gate.set_end(5.0, typical_until=4.5)
        for deadline, objective_s in ((4.0, 9.0), (60.0, 1.0)):
            for taking_s, is_admitted in ((0.9, True), (1.1, False)):
                self.assertIs(
                    gate.admits(
                        "pay", deadline, objective_s, 3.0, taking_s=taking_s
                    ),
                    is_admitted,
                    (deadline, taking_s),
                )
        self.assertEqual(gate.refused, 2)

    # Guards against refusals: a request that came while callers are served, but
    # was held back, was judged as one that comes late.
    def test_request_that_was_held_back_is_judged_from_its_arrival(self):
        gate = StopAdmission()
        gate.set_end(6.0, typical_until=2.6, certain_from=2.8)
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 3.0))
        self.assertTrue(gate.admits("pay", 60.0, 1.0, 3.0, judged_from=2.5))
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 3.0, judged_from=2.9))
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 5.1, judged_from=2.5))

    def test_route_without_requests_takes_its_objective(self):
        gate = StopAdmission()
        gate.set_end(5.0, typical_until=4.5)
        self.assertTrue(gate.admits("pay", 60.0, 1.0, 3.9))
        self.assertFalse(gate.admits("pay", 60.0, 1.0, 4.1))

    # Guards against LOST: the longest of a few requests said too little, and an
    # unsafe request that took longer was cut off at the end of a stop.
    def test_few_requests_of_late_say_nothing_about_the_longest(self):
        gate = StopAdmission()
        gate.set_end(9.0, typical_until=3.0)
        for number in range(REQUESTS_MIN):
            self.assertFalse(gate.admits("pay", 60.0, 0.5, 4.0), number)
            gate.finish("pay", gate.begin("pay", 0.0), True, 0.5)
        self.assertTrue(gate.admits("pay", 60.0, 0.5, 4.0))
        self.assertTrue(gate.admits("other", 8.9, 0.5, 4.0))

    def test_request_that_did_not_run_says_nothing_about_its_route(self):
        gate = StopAdmission()
        gate.finish("pay", gate.begin("pay", 0.0), False, 0.0)
        gate.set_end(5.0)
        self.assertFalse(gate.admits("pay", 60.0, 3.0, 2.5))

    def test_nothing_is_admitted_after_the_end(self):
        gate = StopAdmission()
        gate.set_end(5.0)
        gate.set_end(3.0)
        gate.set_end(6.0)
        self.assertFalse(gate.has_ended(2.9))
        self.assertTrue(gate.has_ended(3.0))
        self.assertFalse(gate.admits("pay", 2.0, 0.0, 3.0))

    def test_retry_delay_is_bounded(self):
        gate = StopAdmission()
        gate.set_end(5.0)
        self.assertEqual(gate.estimate_retry_delay(0.0), RETRY_DELAY_MAX_S)

    # Guards against LOST: a target turned slow after a stop had taken a request
    # of a route that was quick until then.
    def test_late_request_is_admitted_only_if_its_deadline_is_certain(self):
        gate = StopAdmission(FEW)
        for _ in range(FEW):
            gate.finish("pay", gate.begin("pay", 10.0), True, 10.1)
        gate.set_end(15.4, 12.6, 12.8)
        for now, deadline, is_admitted in (
            (12.7, 17.7, True),
            (12.8, 17.8, False),
            (12.8, 15.3, True),
        ):
            answer = gate.admits("pay", deadline, 0.5, now)
            self.assertEqual(answer, is_admitted, (now, deadline))
        self.assertTrue(gate.admits("pay", 17.8, 0.5, 12.8, is_nested=True))

    # Guards against LOST: a target turned silent after its stopping node had
    # taken a call, and the end of the stop broke the call off, though another
    # target would have taken it.
    def test_request_with_an_alternative_is_admitted_by_its_deadline_only(self):
        gate = StopAdmission(FEW)
        for _ in range(FEW):
            gate.finish("pay", gate.begin("pay", 10.0), True, 10.1)
        gate.set_end(15.4, 12.6)
        for now, deadline, is_nested, is_admitted in (
            (10.0, 15.3, False, True),
            (10.0, 15.4, False, False),
            (12.7, 15.3, False, True),
            (12.7, 17.7, False, False),
            (12.7, 17.7, True, False),
        ):
            answer = gate.admits(
                "pay",
                deadline,
                0.5,
                now,
                is_nested=is_nested,
                has_alternative=True,
            )
            self.assertEqual(answer, is_admitted, (now, deadline))
        self.assertTrue(gate.admits("pay", 17.7, 0.5, 12.7))

    # Guards against LOST: a run at a silent target was ended with the stop,
    # when no time was left to run it elsewhere.
    def test_run_is_hedged_while_another_fits(self):
        gate = StopAdmission()
        gate.finish("pay", gate.begin("pay", 10.0), True, 10.4)
        gate.set_end(15.4)
        for began_at, deadline, now, is_due in (
            (11.0, 16.0, 14.5, False),
            (11.0, 16.0, 14.7, True),
            (14.0, 16.0, 14.7, False),
            (11.0, 15.3, 14.7, False),
        ):
            answer = gate.should_hedge("pay", deadline, began_at, 1.0, now)
            self.assertEqual(answer, is_due, (began_at, deadline, now))
        self.assertTrue(gate.should_hedge("new", 16.0, 11.0, 1.0, 14.5))
        self.assertFalse(gate.should_hedge("new", 16.0, 11.0, 1.0, 14.3))


class RecentTimesTest(unittest.TestCase):

    def test_durations_leave_the_window(self):
        recent = RecentTimes()
        recent.record("pay", 3.0, 100.0)
        recent.record("pay", 1.0, 100.5)
        recent.record("pay", 0.5, 105.0)
        self.assertEqual(recent.find_longest("pay", 105.0), 3.0)
        self.assertEqual(recent.find_longest("pay", 100.0 + WINDOW_S), 0.5)
        self.assertIsNone(recent.find_longest("pay", 106.0 + WINDOW_S))
        self.assertIsNone(recent.find_longest("other", 105.0))
        self.assertIsNone(recent.find_mean("other", 105.0))

    def test_mean_is_of_late(self):
        recent = RecentTimes()
        recent.record("pay", 9.0, 90.0)
        recent.record("pay", 1.0, 100.0)
        recent.record("pay", 0.5, 105.0)
        recent.record("pay", 0.0, 105.5)
        self.assertEqual(recent.find_mean("pay", 106.0), 0.5)

    def test_number_of_routes_is_bounded(self):
        recent = RecentTimes()
        for number in range(recent_times.ROUTES_MAX + 5):
            recent.record(f"route-{number}", 1.0, 100.0)
        self.assertIsNone(recent.find_longest("route-4", 100.0))
        self.assertEqual(recent.find_longest("route-5", 100.0), 1.0)


if __name__ == "__main__":
    unittest.main()
