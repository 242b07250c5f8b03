"""Tests of the subset of nodes that a node keeps links to."""

import collections
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.address import Address
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.subset import SUBSET_SIZES
from kumquatwalk.subset import rank_nodes
from kumquatwalk.subset import select_nodes


def make_entries(per_zone: dict[str, int], start: int = 0) -> list[RosterEntry]:
    """Return entries of one service, numbered within each zone."""
    return [
        RosterEntry(f"s-{zone}-{n}", 1, zone, "s", Address("10.0.0.1", 1))
        for zone, count in per_zone.items()
        for n in range(start, start + count)
    ]


def select(caller: str, zone: str, entries, unfit=()) -> tuple[str, ...]:
    """Return the nodes that a caller keeps links to."""
    ranked = rank_nodes(caller, zone, entries)
    return select_nodes(ranked, unfit, SUBSET_SIZES)


class SubsetTest(unittest.TestCase):

    def test_small_service_is_linked_to_in_full(self):
        entries = make_entries({"a": 3, "b": 3, "c": 3})
        self.assertEqual(
            set(select("x", "a", entries)), {e.node_id for e in entries}
        )

    def test_size_does_not_follow_the_fleet(self):
        for nodes in (20, 60, 400):
            entries = make_entries({"a": nodes, "b": nodes, "c": nodes})
            chosen = select("x", "a", entries)
            self.assertEqual(len(chosen), SUBSET_SIZES.total)
            far = [n for n in chosen if not n.startswith("s-a-")]
            self.assertEqual(len(far), SUBSET_SIZES.far)

    def test_callers_are_spread_over_the_targets_of_zones_of_six_and_ten(self):
        # Five zones as in the letter of the large fleet, 39 callers in each.
        sizes = {"a": 10, "b": 6, "c": 10, "d": 6, "e": 10}
        entries = make_entries(sizes)
        callers = collections.Counter()
        for zone in sizes:
            for n in range(39):
                callers.update(select(f"c-{zone}-{n}", zone, entries))
        for zone, size in sizes.items():
            counts = [callers[f"s-{zone}-{n}"] for n in range(size)]
            mean = sum(counts) / size
            self.assertGreater(min(counts), 0.6 * mean)
            self.assertLess(max(counts), 1.4 * mean)

    def test_one_node_more_moves_at_most_one_link_of_a_caller(self):
        entries = make_entries({"a": 12, "b": 12})
        more = entries + make_entries({"a": 1}, start=12)
        for n in range(40):
            before = set(select(f"c{n}", "a", entries))
            after = set(select(f"c{n}", "a", more))
            self.assertLessEqual(len(before - after), 1)
            self.assertLessEqual(len(after - before), 1)

    def test_joining_node_is_linked_to_by_its_share_of_the_callers(self):
        entries = make_entries({"a": 10, "b": 10})
        more = entries + make_entries({"a": 1}, start=10)
        joined = sum("s-a-10" in select(f"c{n}", "a", more) for n in range(200))
        # Six of eleven nodes of the zone are selected by each caller.
        self.assertGreater(joined, 0.7 * 200 * 6 / 11)

    def test_lost_zone_is_replaced_from_the_others(self):
        entries = make_entries({"a": 8, "b": 8, "c": 8})
        lost = {e.node_id for e in entries if e.availability_zone == "a"}
        chosen = select("x", "a", entries, lost)
        self.assertEqual(len(set(chosen) - lost), SUBSET_SIZES.total)
        self.assertLessEqual(len(lost & set(chosen)), SUBSET_SIZES.unfit)

    def test_release_moves_on_in_the_zone_and_back(self):
        entries = make_entries({"a": 20, "b": 20})
        usual = select("x", "a", entries)
        leaving = {n for n in usual if n.startswith("s-a-")}
        during = select("x", "a", entries, leaving)
        fit = [n for n in during if n not in leaving]
        self.assertEqual(sum(n.startswith("s-a-") for n in fit), 6)
        self.assertLessEqual(set(usual), set(during))
        self.assertEqual(select("x", "a", entries), usual)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from("abcd"), st.integers(1, 30), min_size=1
        ),
        st.sets(st.integers(0, 119)),
    )
    def test_bounds_hold_whatever_nodes_are_unfit(self, per_zone, unfit):
        entries = make_entries(per_zone)
        lost = {e.node_id for i, e in enumerate(entries) if i in unfit}
        chosen = select("x", "a", entries, lost)
        self.assertEqual(len(chosen), len(set(chosen)))
        fit = len(entries) - len(lost)
        expected = min(SUBSET_SIZES.total, fit)
        self.assertEqual(len(set(chosen) - lost), expected)
        self.assertLessEqual(len(set(chosen) & lost), 2 * SUBSET_SIZES.unfit)


if __name__ == "__main__":
    unittest.main()
