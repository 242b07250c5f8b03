"""Tests of the removal of expired claims."""

import unittest

from kumquatwalk.idempotency.claim import Claim
from kumquatwalk.idempotency.claim import encode_claim
from kumquatwalk.idempotency.claim_sweeper import CLAIM_RETENTION_S
from kumquatwalk.idempotency.claim_sweeper import find_expired_claims
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.platform.store_position import StorePosition

POSITION = StorePosition(1, 1)

NOW_MS = 10**12
RETENTION_MS = int(CLAIM_RETENTION_S * 1000)


def make_item(key, claimed_at_ms):
    """Return a store item that holds a claim."""
    claim = Claim("n1", 1, "c", "f", claimed_at_ms)
    return StoreItem(key, encode_claim(claim), POSITION)


class FindExpiredClaimsTest(unittest.TestCase):

    def test_claims_outlive_their_owner_for_the_retention_period(self):
        items = (
            make_item("claims/new", NOW_MS - RETENTION_MS),
            make_item("claims/old", NOW_MS - RETENTION_MS - 1),
            make_item("claims/ahead", NOW_MS + RETENTION_MS),
            StoreItem("claims/odd", b"{", POSITION),
        )
        self.assertEqual(find_expired_claims(items, NOW_MS), ["claims/old"])
