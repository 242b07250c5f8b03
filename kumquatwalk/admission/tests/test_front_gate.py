"""Tests of refusal at the front, without network."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.admission.front_gate import LEAST_PART
from kumquatwalk.admission.front_gate import LEAST_SHARE
from kumquatwalk.admission.front_gate import LOOK_INTERVAL_S
from kumquatwalk.admission.front_gate import FrontGate
from kumquatwalk.admission.front_gate import RouteDemand
from kumquatwalk.admission.front_gate import plan_shares
from kumquatwalk.admission.service_use import ServiceLoad

SURGE = (
    RouteDemand("order", 0, 60.0, {"deep": 0.2}),
    RouteDemand("browse", 2, 240.0, {"front": 0.1, "deep": 0.3}),
    RouteDemand("track", 2, 50.0, {"deep": 0.5}),
    RouteDemand("stock", 2, 80.0, {"middle": 0.3}),
)


class PlanSharesTest(unittest.TestCase):

    def test_everything_passes_while_there_is_room(self):
        self.assertEqual(plan_shares(SURGE, {"deep": 200.0}), {})

    def test_surge_over_a_narrow_service_deep_in_the_chain(self):
        # Pattern: all kinds but one need the same narrow service; money and
        # orders go first, then what takes least of it for the same value.
        shares = plan_shares(
            SURGE, {"deep": 60.0, "middle": 90.0, "front": 90.0}
        )
        self.assertNotIn("order", shares)
        self.assertNotIn("stock", shares)
        self.assertEqual(shares["track"], min(shares.values()))
        self.assertGreaterEqual(shares["track"], LEAST_PART * 0.6)
        self.assertGreater(shares["browse"], 0.5)

    def test_least_shares_of_others_do_not_take_the_room_of_payments(self):
        # Pattern: the least shares alone are more than the service carries.
        shares = plan_shares(SURGE, {"deep": 14.0})
        self.assertNotIn("order", shares)

    def test_no_kind_of_request_is_shut_out(self):
        shares = plan_shares(SURGE, {"deep": 1.0})
        self.assertGreaterEqual(min(shares.values()), LEAST_SHARE)

    def test_floors_fall_with_what_passes_at_all(self):
        # Pattern: three times the load; a quarter of each kind would leave
        # nothing for orders that are sent again.
        shares = plan_shares(SURGE, {"deep": 25.0})
        self.assertLess(shares["track"], 0.25)
        passed = sum(d.per_s * shares.get(d.route, 1.0) for d in SURGE)
        average = passed / sum(d.per_s for d in SURGE)
        self.assertGreaterEqual(min(shares.values()), 0.25 * average)

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
    def test_what_passes_fits_but_for_the_least_shares(self, rows, a, b):
        demands = [
            RouteDemand(str(i), rank, per_s, {"a": need_a, "b": need_b})
            for i, (rank, per_s, need_a, need_b) in enumerate(rows)
        ]
        capacity = {"a": a, "b": b}
        shares = plan_shares(demands, capacity)
        for service, places in capacity.items():
            least = sum(
                d.per_s * d.needs[service] * LEAST_PART for d in demands
            )
            passed = sum(
                d.per_s * d.needs[service] * shares.get(d.route, 1.0)
                for d in demands
            )
            self.assertLessEqual(passed, max(places, least) + least + 1e-6)


class FrontGateTest(unittest.TestCase):

    def _fill(self, gate: FrontGate, looks: int = 1) -> None:
        for turn in range(looks):
            gate.look({"deep": ServiceLoad(200, 60)}, SURGE, turn * 0.5)

    def test_nothing_is_refused_before_calls_wait(self):
        # Pattern: requests need less than was learnt; the service shows room.
        gate = FrontGate()
        gate.look({"deep": ServiceLoad(50, 60)}, SURGE, 0.0)
        self.assertEqual(gate.get_share("browse", False), 1.0)

    def test_caller_that_comes_back_goes_before_a_new_one(self):
        gate = FrontGate()
        self._fill(gate)
        self.assertGreater(
            gate.get_share("browse", True), gate.get_share("browse", False)
        )

    def test_waiting_calls_lower_what_is_let_through(self):
        # Pattern: targets are slower than their run times told so far.
        gate = FrontGate()
        self._fill(gate)
        before = gate.get_share("browse", False)
        self._fill(gate, looks=10)
        self.assertLess(gate.get_share("browse", False), before)

    def test_room_raises_what_is_let_through_to_all(self):
        # Pattern: the needs are overestimated, so that the service idles.
        gate = FrontGate()
        self._fill(gate, looks=10)
        before = gate.get_share("browse", False)
        looks = 0
        while gate.shares:
            looks += 1
            gate.look({"deep": ServiceLoad(40, 60)}, SURGE, 10.0 + looks)
        self.assertLess(before, 1.0)
        self.assertLessEqual(looks * LOOK_INTERVAL_S, 15.0)

    def test_rank_0_passes_whole_where_its_own_need_fits_the_places(self):
        # Pattern: a long surge of browsing lowers the use of places to its
        # least; what is important alone would still fit them.
        gate = FrontGate()
        demands = (
            RouteDemand("renew", 0, 14.0, {"deep": 3.4}),
            RouteDemand("browse", 3, 400.0, {"deep": 0.2}),
        )
        for turn in range(40):
            gate.look({"deep": ServiceLoad(300, 48)}, demands, turn * 0.5)
        self.assertNotIn("renew", gate.shares)
        self.assertLess(gate.shares["browse"], 0.5)

    def test_rank_0_is_refused_once_it_alone_is_too_much(self):
        # Pattern: orders alone ask for three times what the service carries.
        gate = FrontGate()
        demands = (RouteDemand("order", 0, 60.0, {"deep": 3.0}),)
        for turn in range(4):
            gate.look({"deep": ServiceLoad(300, 60)}, demands, turn * 0.5)
        self.assertLess(gate.get_share("order", False), 0.6)

    def test_everything_passes_again_one_look_after_a_surge(self):
        gate = FrontGate()
        self._fill(gate, looks=40)
        calm = [RouteDemand("browse", 2, 40.0, {"deep": 0.3})]
        gate.look({"deep": ServiceLoad(20, 60)}, calm, 30.0)
        self.assertEqual(gate.get_share("browse", False), 1.0)
        self.assertLessEqual(LOOK_INTERVAL_S, 1.0)

    def test_capacity_is_that_of_the_targets_in_use(self):
        gates = []
        for places in (60, 30):
            gate = FrontGate()
            gate.look({"deep": ServiceLoad(2 * places, places)}, SURGE, 0.0)
            gates.append(gate.get_share("browse", False))
        self.assertGreater(gates[0], gates[1])


if __name__ == "__main__":
    unittest.main()
