"""Tests of the choice of the nodes that carry a duty."""

import unittest

from kumquatwalk.roster.duty import holds_duty


class DutyTest(unittest.TestCase):

    def test_as_many_nodes_as_asked_for_hold_it(self):
        nodes = {f"n{i}" for i in range(39)}
        holders = [n for n in nodes if holds_duty(n, nodes, 2)]
        self.assertEqual(len(holders), 2)

    def test_node_alone_holds_it(self):
        self.assertTrue(holds_duty("n1", {"n1"}, 2))
        self.assertFalse(holds_duty("n1", set(), 2))

    def test_lost_holder_is_replaced_and_the_other_stays(self):
        nodes = {f"n{i}" for i in range(39)}
        before = {n for n in nodes if holds_duty(n, nodes, 2)}
        lost = min(before)
        rest = nodes - {lost}
        after = {n for n in rest if holds_duty(n, rest, 2)}
        self.assertEqual(len(after), 2)
        self.assertLessEqual(before - {lost}, after)


if __name__ == "__main__":
    unittest.main()
