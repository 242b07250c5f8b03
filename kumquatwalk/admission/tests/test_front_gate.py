"""Tests of refusal at the front, without network."""

import unittest

from kumquatwalk.admission.front_gate import LEAST_SHARE
from kumquatwalk.admission.front_gate import FrontGate
from kumquatwalk.admission.front_gate import ServiceLoad


def settle(busy: int, limit: int, looks: int) -> FrontGate:
    """Return a gate after looks at the same load."""
    gate = FrontGate()
    for turn in range(looks):
        gate.look({"deep": ServiceLoad(busy, limit)}, turn * 0.5)
    return gate


class FrontGateTest(unittest.TestCase):

    def test_everything_passes_while_there_is_room(self):
        gate = settle(50, 100, 10)
        self.assertEqual(gate.get_share({"deep": 9.0}, 2, False), 1.0)

    def test_surge_over_a_narrow_service_deep_in_the_chain(self):
        # Pattern: all kinds need the same narrow service; what takes most of
        # it for the same value is refused first, money and orders last.
        gate = settle(300, 100, 6)
        costly = gate.get_share({"deep": 0.5}, 2, False)
        cheap = gate.get_share({"deep": 0.1}, 2, False)
        money = gate.get_share({"deep": 0.2}, 0, False)
        self.assertLess(costly, cheap)
        self.assertLessEqual(cheap, money)
        self.assertEqual(money, 1.0)

    def test_caller_that_comes_back_goes_before_a_new_one(self):
        gate = settle(300, 100, 5)
        needs = {"deep": 0.3}
        self.assertGreater(
            gate.get_share(needs, 2, True), gate.get_share(needs, 2, False)
        )

    def test_no_kind_of_request_is_shut_out(self):
        gate = settle(900, 100, 100)
        self.assertEqual(gate.get_share({"deep": 5.0}, 2, False), LEAST_SHARE)

    def test_request_that_does_not_need_the_full_service_passes(self):
        gate = settle(900, 100, 100)
        self.assertEqual(gate.get_share({"other": 5.0}, 2, False), 1.0)

    def test_full_level_is_back_within_seconds_after_a_surge(self):
        gate = settle(300, 100, 10)
        looks = 0
        while gate.prices:
            looks += 1
            gate.look({"deep": ServiceLoad(40, 100)}, 100.0 + looks)
        self.assertLessEqual(looks * 0.5, 10.0)


if __name__ == "__main__":
    unittest.main()
