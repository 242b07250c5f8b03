"""Tests of joining two branches of the catalogue's history."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.catalogue.branches import find_fork
from kumquatwalk.catalogue.branches import join_branches
from kumquatwalk.catalogue.check import check_catalogue
from kumquatwalk.catalogue.document import EMPTY_CATALOGUE
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.edit import apply_changes
from kumquatwalk.catalogue.edit import trim_records
from kumquatwalk.catalogue.tests.examples import ADMIN
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry

EDITS = st.lists(st.sampled_from("abc"), max_size=5)


def edit(catalogue: Catalogue, names: list[str], first: int) -> Catalogue:
    """Apply one edit to each named entry, with numbered services."""
    for number, name in enumerate(names, first):
        entry = make_entry(name, service=f"s{number}")
        change = make_change(entry, number)
        catalogue = apply_changes(catalogue, (change,), ADMIN)
    return catalogue


class BranchesTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None)
    @given(EDITS, EDITS, EDITS)
    def test_joined_branches_have_all_edits_and_the_later_ones_win(
        self, common, lost, later
    ):
        base = edit(EMPTY_CATALOGUE, common, 0)
        held, stored = edit(base, lost, 100), edit(base, later, 200)
        joined, rejected = join_branches(held, stored)
        self.assertEqual(rejected, ())
        check_catalogue(joined)
        ids = [record.change_id for record in joined.records]
        expected = [r.change_id for r in (*held.records, *stored.records)]
        self.assertEqual(set(ids), set(expected))
        self.assertEqual(len(ids), len(set(ids)))
        entries = {**held.entries}
        for name in later:
            entries[name] = stored.entries[name]
        self.assertEqual(joined.entries, entries)
        if lost and later:
            self.assertGreater(joined.revision, held.revision)
            self.assertGreater(joined.revision, stored.revision)
        again, _ = join_branches(held, joined)
        self.assertIs(again, joined)

    def test_trimmed_records_count_as_common(self):
        base = edit(EMPTY_CATALOGUE, list("abc"), 0)
        held = trim_records(edit(base, ["a"], 100), 4)
        stored = trim_records(base, 4)
        self.assertEqual(find_fork(held, stored), 3)
        self.assertEqual(join_branches(held, stored)[0], held)

    def test_edit_that_breaks_a_rule_is_returned(self):
        base = edit(EMPTY_CATALOGUE, list("ab"), 0)
        removal = make_change(make_entry("b"), 100)
        removal = type(removal)("b", None, removal.change_id)
        held = apply_changes(base, (removal,), ADMIN)
        caller = make_entry("c", calls=("b",))
        stored = apply_changes(base, (make_change(caller, 200),), ADMIN)
        joined, rejected = join_branches(held, stored)
        self.assertEqual(joined, held)
        self.assertEqual([r.entry_name for r in rejected], ["c"])


if __name__ == "__main__":
    unittest.main()
