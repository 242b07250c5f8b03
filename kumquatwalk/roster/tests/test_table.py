"""Tests of the roster table and of the encoding of its entries."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.address import Address
from kumquatwalk.exception import MembershipError
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.roster.entry import decode_entry
from kumquatwalk.roster.entry import encode_entry
from kumquatwalk.roster.table import RosterTable

ENTRY = RosterEntry("n1", 5, "z1", "web", Address("10.0.0.1", 80))


def list_names(table: RosterTable) -> set[str]:
    """Return the names of the nodes in the table."""
    return {e.node_id for e in table.entries}


class RosterTableTest(unittest.TestCase):

    def setUp(self):
        self.table = RosterTable()
        self.table.put("k1", ENTRY)

    def test_missing_entry_of_a_reachable_node_is_kept(self):
        self.table.mark_missing("k1", 0.0)
        self.table.remove_missing(frozenset(("n1",)), True, 60.0)
        self.assertEqual(list_names(self.table), {"n1"})

    def test_missing_entry_of_an_unreachable_node_is_removed_after_grace(self):
        self.table.mark_missing("k1", 0.0)
        self.table.remove_missing(frozenset(), True, 2.0)
        self.assertEqual(list_names(self.table), {"n1"})
        self.table.remove_missing(frozenset(), True, 3.0)
        self.assertEqual(list_names(self.table), set())

    def test_outage_of_the_store_restarts_the_grace_period(self):
        self.table.mark_missing("k1", 0.0)
        self.table.remove_missing(frozenset(), False, 60.0)
        self.table.remove_missing(frozenset(), True, 61.0)
        self.assertEqual(list_names(self.table), {"n1"})

    def test_entry_that_is_written_again_is_kept(self):
        self.table.mark_missing("k1", 0.0)
        self.table.put("k1", ENTRY)
        self.table.remove_missing(frozenset(), True, 60.0)
        self.assertEqual(list_names(self.table), {"n1"})

    def test_lower_incarnation_after_a_clock_change_is_accepted(self):
        # The wall clock is set back and the node restarts on another VM, with a
        # lower incarnation and a new address.
        restarted = RosterEntry("n1", 4, "z1", "web", Address("10.0.0.9", 80))
        self.table.put("k1", restarted)
        self.assertEqual(self.table.entries[0].link.host, "10.0.0.9")

    def test_entry_from_a_link_does_not_replace_one_from_the_store(self):
        received = RosterEntry("n1", 9, "z1", "web", Address("10.0.0.9", 80))
        self.table.add_if_absent("k1", received)
        self.assertEqual(self.table.entries[0].link.host, "10.0.0.1")
        self.table.add_if_absent("k2", received)
        self.assertEqual(len(self.table.entries), 2)

    def test_entry_that_a_snapshot_lacks_is_removed(self):
        self.table.replace_all([], 0.0)
        self.table.remove_missing(frozenset(), True, 60.0)
        self.assertEqual(list_names(self.table), set())


class RosterEntryTest(unittest.TestCase):

    def test_encoded_entry_is_decoded_unchanged(self):
        self.assertEqual(decode_entry(encode_entry(ENTRY)), ENTRY)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=80))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, data):
        try:
            decode_entry(data)
        except MembershipError:
            pass

    def test_truncated_and_mistyped_entries_are_rejected(self):
        text = encode_entry(ENTRY)
        for value in (text[:-5], text.replace(b"5", b'"5"', 1), b"[]", b"3"):
            with self.subTest(value), self.assertRaises(MembershipError):
                decode_entry(value)


if __name__ == "__main__":
    unittest.main()
