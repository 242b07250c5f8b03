"""Tests of the stand-in platform's keys and leases."""

import unittest

from kumquatwalk.standin.platform_error import RefusalError
from kumquatwalk.standin.platform_state import PlatformState


class LeaseTest(unittest.TestCase):

    def setUp(self):
        self.state = PlatformState()
        self.lease = self.state.grant_lease(10.0, now=0.0).lease_id

    def test_lapse_deletes_the_keys(self):
        self.state.put("a", b"", 0, self.lease, 1.0)
        self.state.put("b", b"", 0, None, 1.0)
        self.state.renew_lease(self.lease, 5.0)
        self.assertIsNotNone(self.state.get("a", 14.9))
        self.assertIsNone(self.state.get("a", 15.0))
        self.assertIsNotNone(self.state.get("b", 15.0))
        with self.assertRaises(RefusalError):
            self.state.renew_lease(self.lease, 15.0)
        with self.assertRaises(RefusalError):
            self.state.put("c", b"", 0, self.lease, 15.0)

    def test_key_taken_over_outlives_the_lease(self):
        first = self.state.put("a", b"", 0, self.lease, 1.0)
        second = self.state.put("a", b"", first.revision, None, 2.0)
        self.assertEqual(self.state.get("a", 99.0), second)

    def test_key_deleted_and_made_again_outlives_the_lease(self):
        first = self.state.put("a", b"", 0, self.lease, 1.0)
        self.state.delete("a", first.revision, 2.0)
        again = self.state.put("a", b"", 0, None, 3.0)
        self.assertEqual(self.state.get("a", 99.0), again)
        self.assertGreater(again.revision, first.revision + 1)
