"""Checks the audit history after concurrent edits over real connections."""

import threading
import unittest

from kumquatwalk.catalogue.editor import Editor
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.standin.store_faults import StoreFaults
from kumquatwalk.standin.store_thread import StoreThread

HANG_GUARD_S = 30.0
OPERATORS = 4
EDITS = 12


class Operator(threading.Thread):
    """Edits its own entry and a shared entry alternately.

    Args:
        number: Number of the operator.
        address: Address of the platform.
    """

    def __init__(self, number, address):
        super().__init__()
        self.number = number
        self.address = address
        self.accepted, self.refused, self.unknown = set(), set(), set()

    def run(self):
        """Make the edits and record the outcome of each."""
        client = BlockingStoreClient(self.address, HANG_GUARD_S)
        store = CatalogueStore(client, sleep=lambda seconds: None)
        editor = Editor(f"shop/op{self.number}", "race", 1)
        for i in range(EDITS):
            name = "shared" if i % 3 == 0 else f"own-{self.number}"
            change_number = self.number * EDITS + i
            entry = make_entry(name, service=f"s{change_number}")
            change = make_change(entry, change_number)
            try:
                store.edit((change,), editor)
                ended = self.accepted
            except OutcomeUnknownError:
                ended = self.unknown
            except CatalogueError:
                ended = self.refused
            ended.add(change.change_id)


class ThreadsTest(unittest.TestCase):

    def test_history_holds_each_accepted_edit_once(self):
        server = StoreThread()
        self.addCleanup(server.close)
        server.start()
        server.set_faults(StoreFaults(lose_answers=15))
        operators = [Operator(n, server.address) for n in range(OPERATORS)]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join(HANG_GUARD_S)
            self.assertFalse(operator.is_alive())
        server.set_faults(StoreFaults())
        client = BlockingStoreClient(server.address, HANG_GUARD_S)
        store = CatalogueStore(client)
        history = store.read_history(1000)[::-1]
        found = [record.change_id for record in history]
        self.assertEqual(len(found), len(set(found)))
        accepted = set().union(*(o.accepted for o in operators))
        refused = set().union(*(o.refused for o in operators))
        unknown = set().union(*(o.unknown for o in operators))
        ended = len(accepted | refused | unknown)
        self.assertEqual(ended, OPERATORS * EDITS)
        self.assertTrue(accepted)
        self.assertLessEqual(set(found), accepted | unknown)
        self.assertLessEqual(accepted, set(found))
        revisions = [record.revision for record in history]
        self.assertEqual(revisions, list(range(1, len(history) + 1)))
        entries = {record.entry_name: record.after for record in history}
        self.assertEqual(store.load().catalogue.entries, entries)
