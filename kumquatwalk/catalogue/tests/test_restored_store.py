"""Tests that accepted edits stay in force when the store loses them."""

import unittest

from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.catalogue.tests.examples import ADMIN
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.exception import KumquatwalkError
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.standin.fleet import LocalFleet
from kumquatwalk.standin.fleet import make_host
from kumquatwalk.standin.fleet import wait_until

# Time within which an accepted edit must be in force, in seconds.
APPLY_S = 4.0
NODES = 3


class RestoredCatalogueTest(unittest.TestCase):

    def setUp(self):
        self.fleet = LocalFleet()
        self.addCleanup(self.fleet.close)
        self.fleet.start_platform()
        self.fleet.put_catalogue([make_entry("base")])
        for number in range(1, NODES + 1):
            self.fleet.start_node(f"vm{number}", "z1", make_host(1, number))
        client = BlockingStoreClient(self.fleet.platform_address)
        self.store = CatalogueStore(client)
        self.edits = 0

    def _add(self, name: str) -> None:
        self.edits += 1
        change = make_change(make_entry(name), self.edits)
        self.store.edit((change,), ADMIN)

    def _serves(self, name: str) -> bool:
        """Return whether all nodes have the entry of a name in force."""
        callers = [self.fleet.make_caller(n) for n in self.fleet.nodes]
        codes = [caller.call(name, timeout_ms=200).code for caller in callers]
        return "entry_unknown" not in codes

    # Guards against CONFIG: an edit that was accepted after the restore had
    # the revision of one that was lost, and no node put it into force.
    def test_edits_on_both_sides_of_a_restore_are_in_force(self):
        self.fleet.save_platform_copy()
        for name in ("lost-1", "lost-2"):
            self._add(name)
        wait_until(lambda: self._serves("lost-2"), "the edits to be in force")
        self.fleet.restore_platform()
        self._add("later")
        wait_until(lambda: self._serves("later"), "the later edit", APPLY_S)
        for name in ("lost-1", "lost-2"):
            self.assertTrue(self._serves(name), name)
        wait_until(
            self._is_written_back, "the lost edits in the store", APPLY_S
        )

    def _is_written_back(self) -> bool:
        try:
            entries = self.store.load().catalogue.entries
        except KumquatwalkError:
            return False
        return entries.keys() >= {"base", "lost-1", "lost-2", "later"}


if __name__ == "__main__":
    unittest.main()
