"""Tests of the plan of faults on links between nodes, and of their check."""

import unittest

from kumquatwalk.soak.link_plan import LinkFault
from kumquatwalk.soak.link_plan import make_link_plan
from kumquatwalk.soak.link_records import list_unanswered
from kumquatwalk.soak.platform_plan import make_platform_plan
from kumquatwalk.soak.platform_record import Impairment
from kumquatwalk.standin.attempt import Attempt

NODES = tuple(f"n{number}" for number in range(1, 7))
RUNS = {"id": [("n2", None)]}


def make_attempt(**changes) -> Attempt:
    """Return a request that was sent at once and closed after a second."""
    fields = {
        "attempt_id": "id",
        "habit": "unsafe",
        "is_safe": False,
        "node": "n1",
        "pid": 1,
        "connection": 1,
        "position": 0,
        "is_behind": False,
        "size": 1,
        "began_at": 10.0,
        "sent_at": 10.0,
        "ended_at": 11.0,
    }
    return Attempt(**(fields | changes))


class LinkPlanTest(unittest.TestCase):

    def test_same_seed_gives_the_same_faults(self):
        for seed in range(20):
            plan = make_platform_plan(seed, 10.0, NODES)
            links = make_link_plan(seed, 10.0, NODES, plan)
            self.assertEqual(links, make_link_plan(seed, 10.0, NODES, plan))
            self.assertNotEqual(
                links, make_link_plan(seed + 1, 10.0, NODES, plan)
            )
            for action in links:
                self.assertNotIn(action.node_id, action.peers)

    def test_all_kinds_are_played(self):
        found = {
            action.fault
            for seed in range(5)
            for action in make_link_plan(seed, 10.0, NODES, ())
        }
        self.assertEqual(found, set(LinkFault))


class UnansweredTest(unittest.TestCase):

    def _list(self, attempt: Attempt, runs, impairments=()) -> list[str]:
        return [v.rule for v in list_unanswered([attempt], runs, impairments)]

    def test_request_that_ran_is_owed_any_complete_answer(self):
        attempt = make_attempt(is_behind=True, error="ended")
        self.assertEqual(self._list(attempt, RUNS), ["unanswered"])
        self.assertEqual(self._list(make_attempt(status=502), RUNS), [])

    def test_request_that_was_read_is_owed_one_though_it_never_ran(self):
        self.assertEqual(self._list(make_attempt(), {}), ["unanswered"])
        for changes in (
            {"ended_at": 10.1},
            {"is_behind": True},
            {"is_after_close": True},
            {"sent_at": None},
        ):
            self.assertEqual(self._list(make_attempt(**changes), {}), [])

    def test_answer_after_the_limit_is_late(self):
        attempt = make_attempt(status=502, ended_at=15.6)
        self.assertEqual(self._list(attempt, RUNS), ["late"])

    def test_impairment_of_the_own_node_excuses(self):
        attempt = make_attempt()
        own, other = Impairment("n1", 5.0, 7.5), Impairment("n2", 5.0, 10.5)
        self.assertEqual(self._list(attempt, RUNS, [own]), [])
        self.assertEqual(self._list(attempt, RUNS, [other]), ["unanswered"])


if __name__ == "__main__":
    unittest.main()
