"""Tests of the choice of targets and of early refusal."""

import random
import unittest

from kumquatwalk import codes
from kumquatwalk.catalogue.entry import Entry
from kumquatwalk.catalogue.importance import Importance
from kumquatwalk.catalogue.limits import Limits
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.member import TargetInfo
from kumquatwalk.membership.member import TargetState
from kumquatwalk.routing.levels import EntryLevels
from kumquatwalk.routing.table import RouteTable


def make_member(
    name, zone="a", state=TargetState.READY, alive=MemberState.ALIVE
):
    """Return a member with a target of service ``svc``."""
    info = TargetInfo("svc", 10, 100, state)
    return Member(name, 1, 1, zone, "127.0.0.1", 1, 2, alive, info)


class RouteTableTest(unittest.TestCase):
    """Choice of targets from zone ``a``."""

    def setUp(self):
        self.table = RouteTable("a", random.Random(1))

    def set_members(self, *members):
        self.table.update(members)

    def pick(self, count=200, priority=300, now=0.0, **kwargs):
        choices = [
            self.table.choose("svc", priority, now, **kwargs)
            for _ in range(count)
        ]
        return {c.target.node_id if c.target else c.code for c in choices}

    def find(self, name):
        found = self.table.get_candidates("svc")
        groups = found.local + found.remote + found.warming
        return next(v for v in groups if v.node_id == name)

    def test_own_zone_comes_first(self):
        self.set_members(
            make_member("n1"), make_member("n2"), make_member("n3", "b")
        )
        self.assertEqual(self.pick(), {"n1", "n2"})

    def test_less_loaded_is_preferred(self):
        self.set_members(make_member("n1"), make_member("n2"))
        self.find("n1").note_sent(0.0)
        self.assertEqual(self.pick(), {"n2"})

    def test_leaving_dead_and_warming_are_passed_over(self):
        self.set_members(
            make_member("n1"),
            make_member("n2", state=TargetState.DRAINING),
            make_member("n3", alive=MemberState.DEAD),
            make_member("n4", state=TargetState.WARMING),
        )
        self.assertEqual(self.pick(), {"n1"})
        self.assertEqual(self.pick(excluded=frozenset(["n1"])), {"n4"})

    def test_spills_to_other_zones_then_refuses(self):
        self.set_members(make_member("n1"), make_member("n2", "b"))
        self.find("n1").note_reply(255, 0, 0.0)
        self.assertEqual(self.pick(priority=255), {"n1"})
        self.assertEqual(self.pick(), {"n2"})
        self.find("n2").note_reply(200, 0, 0.0)
        self.assertEqual(self.pick(), {codes.OVERLOADED})
        self.find("n1").note_reply(200, 0, 0.0)
        self.assertEqual(self.pick(priority=255), {codes.OVERLOADED})
        self.assertEqual(self.pick(priority=255, depth=1), {"n1"})
        self.assertEqual(self.pick(now=1.1), {"n1"})

    def test_failed_target_rests_then_takes_one_probe(self):
        self.set_members(make_member("n1"))
        view = self.find("n1")
        view.note_failure(0.0)
        self.assertEqual(self.pick(now=0.05), {codes.LINK_FAILED})
        self.assertEqual(self.pick(now=0.2), {"n1"})
        view.note_sent(0.2)
        self.assertEqual(self.pick(now=0.2), {codes.LINK_FAILED})
        view.note_reply(1023, 0, 0.3)
        self.assertEqual(self.pick(now=0.3), {"n1"})

    def test_penalty_grows_with_failures_in_a_row(self):
        self.set_members(make_member("n1"))
        for now in (0.0, 1.0, 2.0, 3.0):
            self.find("n1").note_failure(now)
        self.assertEqual(self.pick(now=3.5), {codes.LINK_FAILED})
        self.assertEqual(self.pick(now=4.0), {"n1"})

    def test_restarted_node_starts_clean(self):
        self.set_members(make_member("n1"))
        self.find("n1").note_failure(0.0)
        restarted = Member(
            "n1", 2, 1, "a", "127.0.0.1", 1, 2, target=TargetInfo("svc", 10)
        )
        self.set_members(restarted)
        self.assertEqual(self.pick(), {codes.TARGET_ABSENT})
        self.set_members(make_member("n1"))
        self.assertEqual(self.pick(), {"n1"})


class EntryLevelsTest(unittest.TestCase):
    """Levels that replies carry."""

    def make_levels(self):
        """Return levels of two entries of one chain and one of another."""
        limits = Limits(1, 1.0, 0, 1000)
        entries = {
            name: Entry(
                name, "o", service, Importance.NORMAL, True, limits, calls
            )
            for name, service, calls in (
                ("pay", "front", ("charge",)),
                ("browse", "front", ("look",)),
                ("charge", "deep", ()),
                ("look", "deep", ()),
                ("help", "front", ()),
            )
        }
        return EntryLevels(lambda: entries)

    def test_entries_with_the_same_services_share_a_level(self):
        levels = self.make_levels()
        levels.note_reply("pay", 300, 0.0)
        self.assertTrue(levels.admits("browse", 300, 0.0))
        self.assertFalse(levels.admits("browse", 900, 0.0))
        self.assertTrue(levels.admits("help", 900, 0.0))

    def test_one_request_at_a_time_probes_after_silence(self):
        levels = self.make_levels()
        levels.note_reply("pay", 300, 0.0)
        admitted = [levels.admits("browse", 900, 2.0) for _ in range(3)]
        self.assertEqual(admitted, [True, False, False])
        levels.note_reply("browse", 1023, 2.1)
        self.assertTrue(levels.admits("browse", 900, 2.1))

    def test_lowest_level_of_the_chain_reaches_the_front(self):
        levels = EntryLevels()
        for _ in range(50):
            levels.note_reply("deep", 100, 0.0)
            levels.note_reply("other", 900, 0.0)
        got = levels.combine(800, ("deep", "other", "unseen"), 0.1)
        self.assertAlmostEqual(got, 100, delta=2)

    def test_level_decays_without_replies(self):
        levels = EntryLevels()
        for _ in range(50):
            levels.note_reply("deep", 100, 0.0)
        self.assertLess(levels.get_level("deep", 0.2), 110)
        self.assertEqual(levels.get_level("deep", 1.0), 1023)

    def test_one_leaving_target_does_not_close_the_entry(self):
        levels = EntryLevels()
        levels.note_reply("deep", -1, 0.0)
        self.assertEqual(levels.get_level("deep", 0.0), 1023)
