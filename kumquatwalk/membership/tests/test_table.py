"""Tests of kumquatwalk.membership.table."""

import itertools
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from kumquatwalk.membership.claim import StateClaim
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.table import BUCKET_COUNT
from kumquatwalk.membership.table import TOMBSTONE_S
from kumquatwalk.membership.table import MemberTable
from kumquatwalk.membership.table import is_living


def make_member(
    number: int,
    incarnation: int = 1,
    version: int = 0,
    state: MemberState = MemberState.ALIVE,
    revision: int = 0,
) -> Member:
    """Return a member whose other fields follow from its version."""
    return Member(
        f"node-{number}",
        incarnation,
        version,
        "zone-1",
        "127.0.0.1",
        1 + version,
        7,
        state,
        catalogue_revision=revision,
    )


MEMBERS = strategies.builds(
    make_member,
    strategies.integers(0, 3),
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.sampled_from(MemberState),
    strategies.integers(0, 3),
)
LISTS = strategies.lists(MEMBERS, max_size=12)


def merge_all(members) -> MemberTable:
    """Return a table into which all members were merged in order."""
    table = MemberTable()
    for member in members:
        table.merge(member, 0.0)
    return table


def rank(member: Member) -> tuple[int, int, int]:
    """Return the order of two records of one member."""
    return member.incarnation, member.version, member.state


class MemberTableTest(unittest.TestCase):
    """Merge rules, digests and tombstones."""

    @settings(derandomize=True, deadline=None)
    @given(LISTS, strategies.randoms(use_true_random=False))
    def test_any_order_gives_the_same_table(self, members, rng):
        shuffled = members * 2
        rng.shuffle(shuffled)
        first = merge_all(members)
        second = merge_all(shuffled)
        self.assertEqual(first.members, second.members)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(sorted(first.living), sorted(second.living))

    @settings(derandomize=True, deadline=None)
    @given(LISTS, LISTS)
    def test_merge_of_tables_is_associative(self, first, second):
        whole = merge_all(first + second)
        left = merge_all(first)
        for member in merge_all(second).members.values():
            left.merge(member, 0.0)
        self.assertEqual(whole.members, left.members)

    @settings(derandomize=True, deadline=None)
    @given(LISTS)
    def test_never_takes_an_older_record(self, members):
        table = MemberTable()
        for member in members:
            before = table.get(member.node_id)
            table.merge(member, 0.0)
            after = table.get(member.node_id)
            self.assertGreaterEqual(rank(after), rank(member))
            if before is not None:
                self.assertGreaterEqual(rank(after), rank(before))

    @settings(derandomize=True, deadline=None)
    @given(LISTS)
    def test_digests_follow_from_the_living_records(self, members):
        table = merge_all(members)
        living = [m for m in table.members.values() if is_living(m)]
        fresh = merge_all(living)
        self.assertEqual(fresh.digest, table.digest)
        for bucket in range(BUCKET_COUNT):
            digest = table.bucket_digest(bucket)
            self.assertEqual(fresh.bucket_digest(bucket), digest)

    def test_digest_tells_swapped_versions_apart(self):
        pairs = itertools.permutations((1, 2))
        digests = {
            merge_all(
                [make_member(1, version=a), make_member(2, version=b)]
            ).digest
            for a, b in pairs
        }
        self.assertEqual(2, len(digests))

    def test_claim_counts_only_at_its_version(self):
        table = merge_all([make_member(1, version=2)])
        for version in (1, 3):
            claim = StateClaim("node-1", 1, version, MemberState.DEAD)
            self.assertFalse(table.merge_claim(claim, 0.0))
        claim = StateClaim("node-1", 1, 2, MemberState.DEAD)
        self.assertTrue(table.merge_claim(claim, 0.0))
        self.assertEqual([], table.living)

    def test_higher_incarnation_replaces_a_dead_record(self):
        table = merge_all([make_member(1, 1, 9, MemberState.LEFT)])
        self.assertTrue(table.merge(make_member(1, 2), 0.0))
        self.assertEqual(["node-1"], table.living)
        self.assertEqual({}, table.ended)

    def test_tombstones_expire_by_the_age_they_came_with(self):
        table = MemberTable()
        dead = make_member(1, state=MemberState.DEAD)
        table.merge(dead, 100.0, age_s=60.0)
        table.expire(100.0 + TOMBSTONE_S - 61.0)
        self.assertIn("node-1", table.members)
        table.expire(100.0 + TOMBSTONE_S - 60.0)
        self.assertNotIn("node-1", table.members)

    def test_revision_changes_no_sequence(self):
        table = merge_all([make_member(1)])
        sequence = table.sequence
        table.note_revision("node-1", 1, 5)
        table.note_revision("node-1", 0, 9)
        self.assertEqual(5, table.get("node-1").catalogue_revision)
        self.assertEqual(sequence, table.sequence)

    def test_sample_is_distinct_and_excludes(self):
        table = merge_all([make_member(n) for n in range(9)])
        rng = random.Random(1)
        for _ in range(50):
            chosen = table.sample(rng, 3, frozenset(("node-1", "node-2")))
            ids = {member.node_id for member in chosen}
            self.assertEqual(3, len(ids))
            self.assertFalse(ids & {"node-1", "node-2"})


if __name__ == "__main__":
    unittest.main()
