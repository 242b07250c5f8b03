"""Tests of the watch of the catalogue key."""

import threading
import unittest

from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.catalogue.store import CATALOGUE_KEY
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.catalogue.tests.examples import ADMIN
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.catalogue.tests.fake_client import FakeClient
from kumquatwalk.catalogue.tests.fake_client import Fault
from kumquatwalk.catalogue.watcher import CatalogueWatcher
from kumquatwalk.exception import CatalogueError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform.client import PlatformClient
from kumquatwalk.standin.platform_faults import Faults
from kumquatwalk.standin.platform_server import PlatformServer
from kumquatwalk.standin.platform_state import PlatformState

HANG_GUARD_S = 30.0


class PollTest(unittest.TestCase):

    def setUp(self):
        self.state = PlatformState()
        self.store = CatalogueStore(FakeClient(self.state))
        self.replica = CatalogueReplica()
        self.received = []
        self.edit(1)

    def edit(self, number):
        change = make_change(make_entry("a", service=f"s{number}"), number)
        self.store.edit((change,), ADMIN)

    def overwrite(self, value):
        revision = self.state.get(CATALOGUE_KEY, 0.0).revision
        self.state.put(CATALOGUE_KEY, value, revision, None, 0.0)

    def make_watcher(self, faults=()):
        return CatalogueWatcher(
            FakeClient(self.state, faults),
            self.replica,
            lambda: True,
            self.received.append,
            lambda error: None,
        )

    def check_refused(self, watcher, code):
        with self.assertRaises(CatalogueError) as caught:
            watcher.poll(0.0)
        self.assertEqual(caught.exception.code, code)

    def test_new_records_are_handed_on_once(self):
        watcher = self.make_watcher()
        watcher.poll(0.0)
        self.edit(2)
        self.edit(3)
        watcher.poll(0.0)
        watcher.poll(0.0)
        revisions = [[r.revision for r in records] for records in self.received]
        self.assertEqual(revisions, [[1], [2, 3]])
        self.assertEqual(self.replica.current().revision, 3)

    def test_what_a_peer_brought_first_is_not_handed_on(self):
        self.replica.offer(self.store.load().catalogue, 0.0)
        self.make_watcher().poll(0.0)
        self.assertEqual(self.received, [])

    def test_bad_documents_are_reported_and_not_taken(self):
        watcher = self.make_watcher()
        watcher.poll(0.0)
        self.edit(2)
        watcher.poll(0.0)
        in_force = self.replica.current()
        self.overwrite(b"{")
        self.check_refused(watcher, "document_malformed")
        broken = make_entry("a", calls=("none",))
        self.overwrite(encode_catalogue(Catalogue(9, {"a": broken})))
        self.check_refused(watcher, "call_unknown")
        self.overwrite(encode_catalogue(Catalogue(1, {})))
        self.check_refused(watcher, "catalogue_reverted")
        self.assertIs(self.replica.current(), in_force)
        self.overwrite(encode_catalogue(Catalogue(10, {})))
        watcher.poll(0.0)
        self.assertEqual(self.replica.current().revision, 10)

    def test_platform_that_lost_its_data_is_reported(self):
        watcher = self.make_watcher()
        watcher.poll(0.0)
        revision = self.state.get(CATALOGUE_KEY, 0.0).revision
        self.state.delete(CATALOGUE_KEY, revision, 0.0)
        self.check_refused(watcher, "catalogue_missing")
        self.state.revision = 0
        self.check_refused(watcher, "catalogue_missing")
        older = encode_catalogue(Catalogue(0, {}))
        self.state.put(CATALOGUE_KEY, older, 0, None, 0.0)
        self.state.put(CATALOGUE_KEY, older, 1, None, 0.0)
        self.check_refused(watcher, "catalogue_reverted")

    def test_stale_answer_is_an_error_so_that_the_loop_backs_off(self):
        server = PlatformServer("127.0.0.1", 0)
        self.addCleanup(server.close)
        server.start()
        client = PlatformClient(server.address, timeout_s=HANG_GUARD_S)
        self.addCleanup(client.close)
        value = encode_catalogue(Catalogue(1, {}))
        watcher = CatalogueWatcher(
            client, self.replica, lambda: True, list, list, wait_s=0.0
        )
        client.put(CATALOGUE_KEY, value, 0)
        watcher.poll(0.0)
        client.put(CATALOGUE_KEY, value, 1)
        server.service.set_faults(Faults(stale_reads=True))
        self.check_refused(watcher, "catalogue_stale")

    def test_outage_is_passed_on(self):
        watcher = self.make_watcher([Fault.UNREACHABLE])
        with self.assertRaises(PlatformUnavailableError):
            watcher.poll(0.0)
        watcher.poll(0.0)
        self.assertEqual(self.replica.current().revision, 1)


class ThreadTest(unittest.TestCase):

    def setUp(self):
        self.server = PlatformServer("127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.server.start()
        self.client = PlatformClient(
            self.server.address, timeout_s=HANG_GUARD_S
        )
        self.addCleanup(self.client.close)

    def test_change_after_an_outage_comes_into_force(self):
        failed, changed = threading.Event(), threading.Event()
        representative = threading.Event()
        replica = CatalogueReplica()
        replica.add_listener(lambda catalogue: changed.set())
        watcher = CatalogueWatcher(
            PlatformClient(self.server.address, timeout_s=HANG_GUARD_S),
            replica,
            representative.is_set,
            lambda records: None,
            lambda error: failed.set(),
        )
        self.server.service.set_faults(Faults(outage=True))
        watcher.start()
        self.addCleanup(watcher.close)
        self.assertFalse(failed.is_set())
        representative.set()
        self.assertTrue(failed.wait(HANG_GUARD_S))
        self.server.service.set_faults(Faults())
        change = make_change(make_entry("a"), 1)
        CatalogueStore(self.client).edit((change,), ADMIN)
        self.assertTrue(changed.wait(HANG_GUARD_S))
        self.assertEqual(replica.current().revision, 1)

    def test_node_that_is_no_representative_makes_no_calls(self):
        asked = threading.Event()
        asked_again = threading.Event()

        def is_representative():
            (asked_again if asked.is_set() else asked).set()
            return False

        watcher = CatalogueWatcher(
            self.client, CatalogueReplica(), is_representative, list, list
        )
        watcher.start()
        self.assertTrue(asked_again.wait(HANG_GUARD_S))
        watcher.close()
        self.assertFalse(any(self.server.service.get_counts().values()))
