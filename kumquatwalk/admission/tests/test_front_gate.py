"""Unit tests of load shedding at the ingress."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.admission.ingress import PROBABILITY_MIN
from kumquatwalk.admission.ingress import PROBABILITY_MIN_PART
from kumquatwalk.admission.ingress import UPDATE_INTERVAL_S
from kumquatwalk.admission.ingress import IngressLoadShedder
from kumquatwalk.admission.ingress import RouteDemand
from kumquatwalk.admission.ingress import ServiceLoad
from kumquatwalk.admission.ingress import compute_admission_probabilities

SURGE = (
    RouteDemand("order", 0, 60.0, {"deep": 0.2}),
    RouteDemand("browse", 2, 240.0, {"front": 0.1, "deep": 0.3}),
    RouteDemand("track", 2, 50.0, {"deep": 0.5}),
    RouteDemand("stock", 2, 80.0, {"middle": 0.3}),
)


def find_floor(demands, probabilities) -> float:
    """Return the lower bound that belongs to what is admitted on average."""
    total = sum(d.requests_per_s for d in demands)
    admitted = sum(
        d.requests_per_s * probabilities.get(d.route, 1.0) for d in demands
    )
    return max(PROBABILITY_MIN, PROBABILITY_MIN_PART * admitted / total)


class AdmissionProbabilitiesTest(unittest.TestCase):

    def test_all_requests_are_admitted_below_capacity(self):
        self.assertEqual(
            compute_admission_probabilities(SURGE, {"deep": 200.0}), {}
        )

    def test_requests_are_shed_by_value_for_an_overloaded_service(self):
        # All routes but one use the service with the lowest capacity. Rank 0
        # is admitted first, then the route with the lowest cost per value.
        probabilities = compute_admission_probabilities(
            SURGE, {"deep": 60.0, "middle": 90.0, "front": 90.0}
        )
        self.assertNotIn("order", probabilities)
        self.assertNotIn("stock", probabilities)
        self.assertEqual(probabilities["track"], min(probabilities.values()))
        self.assertGreaterEqual(probabilities["track"], PROBABILITY_MIN)
        self.assertLessEqual(
            probabilities["track"], find_floor(SURGE, probabilities)
        )
        self.assertGreater(probabilities["browse"], 0.5)

    def test_minimum_of_other_routes_does_not_displace_rank_0(self):
        # The minimums of the routes together exceed the capacity.
        probabilities = compute_admission_probabilities(SURGE, {"deep": 14.0})
        self.assertNotIn("order", probabilities)

    def test_each_route_keeps_the_minimum_probability(self):
        probabilities = compute_admission_probabilities(SURGE, {"deep": 1.0})
        self.assertGreaterEqual(min(probabilities.values()), PROBABILITY_MIN)

    def test_lower_bounds_fall_with_what_is_admitted_at_all(self):
        # Pattern: three times the load. A quarter of each route would leave no
        # room for the orders that are sent again.
        probabilities = compute_admission_probabilities(SURGE, {"deep": 25.0})
        self.assertLess(probabilities["track"], 0.25)
        # No route is served less than a quarter as often as all requests.
        average = sum(
            d.requests_per_s * probabilities.get(d.route, 1.0) for d in SURGE
        ) / sum(d.requests_per_s for d in SURGE)
        self.assertGreaterEqual(min(probabilities.values()), 0.25 * average)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.floats(0.1, 500.0),
                st.floats(0.0, 1.0),
                st.floats(0.0, 1.0),
            ),
            min_size=1,
            max_size=8,
        ),
        st.floats(1.0, 200.0),
        st.floats(1.0, 200.0),
    )
    def test_admitted_requests_fit_the_capacity_except_for_the_minimum(
        self, rows, a, b
    ):
        demands = [
            RouteDemand(
                str(i), rank, requests_per_s, {"a": slots_a, "b": slots_b}
            )
            for i, (rank, requests_per_s, slots_a, slots_b) in enumerate(rows)
        ]
        capacity = {"a": a, "b": b}
        probabilities = compute_admission_probabilities(demands, capacity)
        for service, slots in capacity.items():
            floor = find_floor(demands, probabilities)
            minimum = sum(
                d.requests_per_s * d.slot_seconds[service] * floor
                for d in demands
            )
            admitted = sum(
                d.requests_per_s
                * d.slot_seconds[service]
                * probabilities.get(d.route, 1.0)
                for d in demands
            )
            self.assertLessEqual(admitted, max(slots, minimum) + minimum + 1e-6)


class FrontGateTest(unittest.TestCase):

    def _overload(self, shedder: IngressLoadShedder, updates: int = 1) -> None:
        for turn in range(updates):
            shedder.update({"deep": ServiceLoad(200, 60)}, SURGE, turn * 0.5)

    def test_nothing_is_shed_before_calls_queue(self):
        # The estimated cost exceeds the actual one: the service has capacity.
        shedder = IngressLoadShedder()
        shedder.update({"deep": ServiceLoad(50, 60)}, SURGE, 0.0)
        self.assertEqual(
            shedder.get_admission_probability("browse", False), 1.0
        )

    def test_retry_has_a_higher_probability_than_a_first_attempt(self):
        shedder = IngressLoadShedder()
        self._overload(shedder)
        self.assertGreater(
            shedder.get_admission_probability("browse", True),
            shedder.get_admission_probability("browse", False),
        )

    def test_retries_are_admitted_before_first_attempts(self):
        # Pattern: a lasting surge; one request in five is a caller's retry.
        shedder = IngressLoadShedder()
        self._overload(shedder)
        for number in range(500):
            shedder.record_arrival("browse", number % 5 == 0)
        planned = shedder.admission_probabilities["browse"]
        self.assertGreater(planned, 0.2)
        first = shedder.get_admission_probability("browse", False)
        self.assertEqual(shedder.get_admission_probability("browse", True), 1.0)
        # Together they take what is planned for the route, and no more.
        self.assertAlmostEqual(0.2 * 1.0 + 0.8 * first, planned, delta=0.03)

    def test_first_attempts_keep_a_part_when_all_seem_to_be_retries(self):
        shedder = IngressLoadShedder()
        self._overload(shedder)
        for _ in range(500):
            shedder.record_arrival("browse", True)
        planned = shedder.admission_probabilities["browse"]
        self.assertGreaterEqual(
            shedder.get_admission_probability("browse", False), 0.25 * planned
        )

    def test_as_many_are_called_back_soon_as_there_is_room_for(self):
        shedder = IngressLoadShedder()
        self._overload(shedder)
        rng = random.Random(3)
        delays = [
            shedder.draw_retry_delay("browse", False, rng) for _ in range(2000)
        ]
        soon = sum(d == 0.0 for d in delays) / len(delays)
        planned = shedder.admission_probabilities["browse"]
        self.assertAlmostEqual(soon, planned, delta=0.05)
        # Who is refused again is not called back into the same surge.
        again = [
            shedder.draw_retry_delay("browse", True, rng) for _ in range(50)
        ]
        self.assertGreaterEqual(min(again), 3.0)

    def test_waiting_calls_lower_what_is_let_through(self):
        # Targets are slower than the run times that they reported before.
        shedder = IngressLoadShedder()
        self._overload(shedder)
        before = shedder.get_admission_probability("browse", False)
        self._overload(shedder, updates=10)
        self.assertLess(
            shedder.get_admission_probability("browse", False), before
        )

    def test_spare_capacity_raises_the_probability_to_one(self):
        # The cost is overestimated, so the service is underused.
        shedder = IngressLoadShedder()
        self._overload(shedder, updates=10)
        before = shedder.get_admission_probability("browse", False)
        updates = 0
        while shedder.admission_probabilities:
            updates += 1
            shedder.update({"deep": ServiceLoad(40, 60)}, SURGE, 10.0 + updates)
        self.assertLess(before, 1.0)
        self.assertLessEqual(updates * UPDATE_INTERVAL_S, 15.0)

    def test_all_requests_are_admitted_one_update_after_an_overload(self):
        shedder = IngressLoadShedder()
        self._overload(shedder, updates=40)
        calm = [RouteDemand("browse", 2, 40.0, {"deep": 0.3})]
        shedder.update({"deep": ServiceLoad(20, 60)}, calm, 30.0)
        self.assertEqual(
            shedder.get_admission_probability("browse", False), 1.0
        )
        self.assertLessEqual(UPDATE_INTERVAL_S, 1.0)

    def test_capacity_follows_the_limit_of_the_targets(self):
        probabilities = []
        for slots in (60, 30):
            shedder = IngressLoadShedder()
            shedder.update({"deep": ServiceLoad(2 * slots, slots)}, SURGE, 0.0)
            probabilities.append(
                shedder.get_admission_probability("browse", False)
            )
        self.assertGreater(probabilities[0], probabilities[1])


if __name__ == "__main__":
    unittest.main()
