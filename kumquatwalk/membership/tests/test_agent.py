"""Tests of kumquatwalk.membership.agent: many nodes, the test's own time."""

import unittest

from kumquatwalk.membership.agent import Agent
from kumquatwalk.membership.broadcast_kind import BroadcastKind
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.membership.table import is_living
from kumquatwalk.membership.tests.fleet import ZONES
from kumquatwalk.membership.tests.fleet import Fleet
from kumquatwalk.membership.tests.fleet import name
from kumquatwalk.membership.timing import Timing

SIZE = 60
IN_FORCE_S = 4.0
PROMPT_S = 1.0
JOIN_S = 3.0
KILL_KNOWN_S = 20.0
LEAVE_KNOWN_S = 3.0
REFUTED_S = 5.0
HEALED_S = 30.0
RESTARTED_S = 10.0
SETTLE_S = 120.0

ALIVE = MemberState.ALIVE
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


class AgentTest(unittest.TestCase):
    """Whole fleets of agents that exchange messages in memory."""

    def _make_fleet(self, size=SIZE, seed=1, loss=0.0) -> Fleet:
        fleet = Fleet(size, seed, loss)
        everyone = set(range(size))
        settled = fleet.run(SETTLE_S, lambda: fleet.all_see(ALIVE, everyone))
        self.assertLess(settled, SETTLE_S)
        fleet.run(5.0)
        return fleet

    def test_new_node_learns_the_fleet_and_is_known(self):
        fleet = self._make_fleet()
        fleet.start(SIZE)
        everyone = set(range(SIZE + 1))
        taken = fleet.run(SETTLE_S, lambda: fleet.all_see(ALIVE, everyone))
        self.assertLess(taken, JOIN_S)
        self.assertTrue(fleet.agents[SIZE].is_joined)

    def test_crash_is_known(self):
        fleet = self._make_fleet(loss=0.02)
        fleet.kill(7)
        taken = fleet.run(SETTLE_S, lambda: fleet.all_see(DEAD, {7}))
        self.assertLess(taken, KILL_KNOWN_S)

    def test_leave_is_known_and_not_refuted(self):
        fleet = self._make_fleet()
        fleet.act(8, Agent.leave)
        taken = fleet.run(SETTLE_S, lambda: fleet.all_see(LEFT, {8}))
        self.assertLess(taken, LEAVE_KNOWN_S)
        fleet.run(30.0)
        self.assertTrue(fleet.all_see(LEFT, {8}))

    def test_draining_is_known(self):
        fleet = self._make_fleet()
        target = TargetInfo("payments", 9, 9, TargetState.DRAINING)
        fleet.act(3, lambda agent, now: agent.publish(target, now))
        taken = fleet.run(
            SETTLE_S,
            lambda: all(
                agent.table.get(name(3)).target == target
                for agent in fleet.agents.values()
            ),
        )
        self.assertLess(taken, LEAVE_KNOWN_S)

    def test_frozen_node_is_dead_and_refutes_when_it_wakes(self):
        fleet = self._make_fleet()
        fleet.freeze(9)
        others = [n for n in fleet.agents if n != 9]
        taken = fleet.run(
            SETTLE_S,
            lambda: all(fleet.states(n)[name(9)] == DEAD for n in others),
        )
        self.assertLess(taken, KILL_KNOWN_S)
        fleet.run(30.0)
        fleet.thaw(9)
        everyone = set(range(SIZE))
        taken = fleet.run(SETTLE_S, lambda: fleet.all_see(ALIVE, everyone))
        self.assertLess(taken, REFUTED_S)
        refutations = [a.counters.refutations for a in fleet.agents.values()]
        self.assertEqual(1, sum(refutations))

    def test_cut_zone_merges_again_and_no_side_loses_its_own(self):
        fleet = self._make_fleet()
        zone = {n for n in range(SIZE) if n % ZONES == 2}
        fleet.is_cut = lambda a, b: (a in zone) != (b in zone)
        fleet.run(90.0)
        for observer in (1, 2):
            states = fleet.states(observer)
            for number in range(SIZE):
                same_side = (number in zone) == (observer in zone)
                expected = ALIVE if same_side else DEAD
                self.assertEqual(expected, states[name(number)])
        fleet.is_cut = lambda a, b: False
        lost = set()

        def is_healed() -> bool:
            for observer, agent in fleet.agents.items():
                for number in range(SIZE):
                    same_side = (number in zone) == (observer in zone)
                    member = agent.table.get(name(number))
                    if same_side and not is_living(member):
                        lost.add((observer, number))
            return fleet.all_see(ALIVE, set(range(SIZE)))

        self.assertLess(fleet.run(SETTLE_S, is_healed), HEALED_S)
        self.assertEqual(set(), lost)

    def test_cut_heals_without_known_addresses(self):
        fleet = self._make_fleet(size=30)
        zone = {n for n in range(30) if n % ZONES == 2}
        for number in range(30):
            fleet.act(number, lambda a, now: a.set_seeds(frozenset(), now))
        fleet.is_cut = lambda a, b: (a in zone) != (b in zone)
        fleet.run(90.0)
        fleet.is_cut = lambda a, b: False
        everyone = set(range(30))
        taken = fleet.run(SETTLE_S, lambda: fleet.all_see(ALIVE, everyone))
        self.assertLess(taken, HEALED_S)

    def test_zone_that_restarts_is_known_within_the_budget(self):
        fleet = self._make_fleet()
        zone = {n for n in range(SIZE) if n % ZONES == 2}
        before = dict(fleet.sent_bytes)
        started = fleet.now
        for number in zone:
            fleet.kill(number)
        fleet.run(0.5)
        for number in zone:
            fleet.start(number, incarnation=2)

        def is_restarted() -> bool:
            return all(
                agent.table.get(name(number)).incarnation == 2
                for agent in fleet.agents.values()
                for number in zone
            )

        self.assertLess(fleet.run(SETTLE_S, is_restarted), RESTARTED_S)
        timing = Timing()
        bound = timing.burst_bytes + timing.bytes_per_s * (fleet.now - started)
        for number, sent in fleet.sent_bytes.items():
            if number not in zone:
                self.assertLessEqual(sent - before[number], bound)

    def test_zone_that_dies_is_known_and_tables_agree(self):
        fleet = self._make_fleet()
        zone = {n for n in range(SIZE) if n % ZONES == 2}
        for number in zone:
            fleet.kill(number)
        taken = fleet.run(SETTLE_S, lambda: fleet.all_see(DEAD, zone))
        self.assertLess(taken, 2 * KILL_KNOWN_S)
        self.assertEqual(
            1, len({agent.table.digest for agent in fleet.agents.values()})
        )

    def test_broadcast_reaches_all_once(self):
        fleet = self._make_fleet()
        self._check_broadcast(fleet, b"x" * 1000, PROMPT_S)

    def test_broadcast_reaches_all_in_a_large_lossy_fleet(self):
        fleet = self._make_fleet(size=150, loss=0.05)
        self._check_broadcast(fleet, b"x" * 600, IN_FORCE_S)

    def test_record_that_many_nodes_spread_costs_as_one(self):
        fleet = self._make_fleet()
        payload = b"x" * 600
        before = dict(fleet.sent_bytes)
        kind = BroadcastKind.CATALOGUE_RECORD
        for number in range(SIZE):
            self._spread(fleet, number, kind, payload)
        fleet.run(20.0)
        for number, sent in fleet.sent_bytes.items():
            self.assertLess(sent - before[number], 30 * len(payload))

    def test_leave_is_known_during_a_flood_of_broadcasts(self):
        fleet = self._make_fleet()
        kind = BroadcastKind.CRASH_REPORT
        for number in range(SIZE):
            self._spread(fleet, number, kind, bytes((number,)) * 900)
        fleet.run(5.0)
        fleet.act(8, Agent.leave)
        taken = fleet.run(SETTLE_S, lambda: fleet.all_see(LEFT, {8}))
        self.assertLess(taken, LEAVE_KNOWN_S)

    def _spread(self, fleet, number, kind, payload) -> None:
        fleet.act(number, lambda a, now: a.broadcast(kind, payload, now))

    def _check_broadcast(
        self, fleet: Fleet, payload: bytes, limit_s: float
    ) -> None:
        kind = BroadcastKind.CATALOGUE_RECORD
        self._spread(fleet, 5, kind, payload)
        others = [n for n in fleet.agents if n != 5]
        taken = fleet.run(
            SETTLE_S, lambda: all(fleet.received[n] for n in others)
        )
        self.assertLess(taken, limit_s)
        fleet.run(20.0)
        self.assertEqual(
            [[payload]] * len(others), [fleet.received[n] for n in others]
        )
        self.assertEqual([], fleet.received[5])

    def test_newer_revision_is_noticed_without_a_broadcast(self):
        fleet = self._make_fleet()
        fleet.act(5, lambda agent, _: agent.publish_revision(7))
        fleet.run(5.0)
        noticed = [n for n, seen in fleet.newer.items() if 7 in seen]
        self.assertTrue(noticed)
        self.assertNotIn(5, noticed)

    def test_idle_fleet_stays_far_below_the_budget(self):
        fleet = self._make_fleet()
        before = dict(fleet.sent_bytes)
        fleet.run(60.0)
        for number, sent in fleet.sent_bytes.items():
            self.assertLess((sent - before[number]) / 60.0, 1000.0)


if __name__ == "__main__":
    unittest.main()
