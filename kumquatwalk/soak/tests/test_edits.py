"""Tests of the check that accepted edits stay."""

import unittest

from kumquatwalk.catalogue.audit import AuditRecord
from kumquatwalk.soak.edits import REACH_S
from kumquatwalk.soak.edits import AcceptedEdit
from kumquatwalk.soak.edits import check_edits_kept


class EditsKeptTest(unittest.TestCase):

    def check(self, *outages: float) -> list[str]:
        """Return the edits found lost, of one kept and one lost at 5 s."""
        history = [AuditRecord(1, "kept", "a", "", 0, "e", None, None)]
        accepted = [AcceptedEdit("kept", 1.0), AcceptedEdit("lost", 5.0)]
        found = check_edits_kept(accepted, history, outages)
        return [violation.name for violation in found]

    def test_lost_edit_is_found(self):
        self.assertEqual(self.check(), ["lost"])
        self.assertEqual(self.check(4.9, 5.0 + REACH_S), ["lost"])

    def test_edit_that_may_have_reached_no_node_is_left_out(self):
        self.assertEqual(self.check(5.0), [])


if __name__ == "__main__":
    unittest.main()
