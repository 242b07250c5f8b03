"""Tests of a node's copy of the catalogue."""

import threading
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.edit import apply_changes
from kumquatwalk.catalogue.edit import trim_records
from kumquatwalk.catalogue.offer import OfferOutcome
from kumquatwalk.catalogue.replica import CatalogueReplica
from kumquatwalk.catalogue.tests.examples import ADMIN
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry


def make_versions(count):
    """Return successive catalogues, the first one empty."""
    versions = [Catalogue(0, {})]
    for i in range(count):
        entry = make_entry(f"e{i % 3}", service=f"s{i}")
        change = make_change(entry, i)
        versions.append(apply_changes(versions[-1], (change,), ADMIN))
    return versions


VERSIONS = make_versions(8)
BROKEN = Catalogue(9, {"a": make_entry("a", owner="")})


class ReplicaTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.booleans(), st.integers(1, 8)), max_size=12))
    def test_never_goes_back_and_holds_only_accepted_content(self, steps):
        replica = CatalogueReplica()
        seen = []
        replica.add_listener(seen.append)
        for is_offer, revision in steps:
            before = replica.current().revision
            if is_offer:
                result = replica.offer(VERSIONS[revision], 0.0)
                self.assertEqual(bool(result), revision > before)
            else:
                record = VERSIONS[revision].records[-1]
                result = replica.apply(record, 0.0)
                self.assertEqual(bool(result), revision == before + 1)
            present = replica.current()
            self.assertGreaterEqual(present.revision, before)
            expected = VERSIONS[present.revision].entries
            self.assertEqual(present.entries, expected)
        revisions = [catalogue.revision for catalogue in seen]
        self.assertEqual(revisions, sorted(set(revisions)))

    def test_offers_from_several_threads_end_at_the_highest(self):
        replica = CatalogueReplica()
        seen = []
        replica.add_listener(lambda catalogue: seen.append(catalogue.revision))
        orders = [VERSIONS, VERSIONS[::-1], VERSIONS[::2], VERSIONS[1::2]]
        threads = [
            threading.Thread(
                target=lambda o=order: [replica.offer(c, 0.0) for c in o]
            )
            for order in orders
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(replica.current(), VERSIONS[8])
        self.assertEqual(seen, sorted(set(seen)))

    def test_invalid_content_is_reported_and_not_taken(self):
        replica = CatalogueReplica(VERSIONS[3])
        result = replica.offer(BROKEN, 0.0)
        self.assertEqual(result.outcome, OfferOutcome.INVALID)
        self.assertEqual(result.code, "owner_invalid")
        self.assertEqual(replica.current(), VERSIONS[3])

    def test_record_that_does_not_fit_is_reported(self):
        replica = CatalogueReplica(Catalogue(3, {}))
        result = replica.apply(VERSIONS[4].records[-1], 0.0)
        self.assertEqual(result.outcome, OfferOutcome.INVALID)
        self.assertEqual(result.code, "records_broken")
        result = replica.apply(VERSIONS[6].records[-1], 0.0)
        self.assertEqual(result.outcome, OfferOutcome.GAP)

    def test_records_after_lead_to_the_present(self):
        ahead = CatalogueReplica(VERSIONS[8])
        for revision in range(9):
            behind = CatalogueReplica(VERSIONS[revision])
            behind.apply_all(ahead.records_after(revision), 0.0)
            self.assertEqual(behind.current(), VERSIONS[8])
        trimmed = CatalogueReplica(trim_records(VERSIONS[8], 5))
        self.assertIsNone(trimmed.records_after(3))
        self.assertEqual(len(trimmed.records_after(4)), 4)
