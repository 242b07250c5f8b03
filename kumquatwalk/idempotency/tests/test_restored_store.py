"""Tests that keys stay claimed when the store loses their claims."""

import asyncio
import unittest

from kumquatwalk.catalogue import Importance
from kumquatwalk.clock import read_now
from kumquatwalk.idempotency import ClaimBudget
from kumquatwalk.idempotency import Claimed
from kumquatwalk.idempotency import ClaimStore
from kumquatwalk.idempotency import NodeIdentity
from kumquatwalk.idempotency import OwnedBy
from kumquatwalk.idempotency.claim import Claim
from kumquatwalk.idempotency.claim_restorer import ClaimRestorer
from kumquatwalk.idempotency.claim_store import RESTORE_GRACE_S
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.standin.kv_store import KvStore
from kumquatwalk.standin.store_faults import StoreFaults

KEY = "claims/1"
POLL_S = 0.02
WAIT_S = 30.0


class RestoredClaimsTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.store = KvStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.clients: dict[str, StoreClient] = {}
        self.restorers: dict[str, ClaimRestorer] = {}
        self.claims = {n: self._make_claims(n) for n in ("first", "second")}

    def _make_claims(self, node_id: str) -> ClaimStore:
        client = StoreClient(self.store.address, 1.5)
        self.addCleanup(client.close)
        self.clients[node_id] = client
        budget = ClaimBudget(1000.0, 1000.0)
        claims = ClaimStore(client, NodeIdentity(node_id, 1), budget)
        restorer = ClaimRestorer(client, claims.held)
        self.restorers[node_id] = restorer
        self.addAsyncCleanup(restorer.close)

        def handle_restore():
            claims.handle_restore()
            restorer.handle_restore()

        client.era.on_restore = handle_restore
        return claims

    async def _claim(self, node_id: str, key: str = KEY):
        return await self.claims[node_id].claim(
            key, b"1", f"of-{node_id}", Importance.CRITICAL, read_now() + 60.0
        )

    # Guards against a payment that runs twice: the store lost the claim of the
    # node that ran it, and another node claimed the same key.
    async def test_key_claimed_before_a_restore_is_not_claimed_again(self):
        for node_id in self.claims:
            await self._claim(node_id, f"claims/of-{node_id}")
        copy = self.store.take_copy()
        self.assertIsInstance(await self._claim("first"), Claimed)
        self.store.restore(copy)
        self.assertNotIsInstance(await self._claim("second"), Claimed)
        await self.clients["first"].get("any")
        async with asyncio.timeout(WAIT_S):
            while not isinstance(
                result := await self._claim("second"), OwnedBy
            ):
                self.assertNotIsInstance(result, Claimed)
                await asyncio.sleep(POLL_S)
        self.assertEqual(result.claim.node_id, "first")

    # Guards against a payment that runs twice: a node started after the restore
    # knows of none and trusts its claim at once.
    async def test_node_started_after_a_restore_trusts_no_claim_at_once(self):
        copy = self.store.take_copy()
        self.assertIsInstance(await self._claim("first"), Claimed)
        self.store.restore(copy)
        self.claims["third"] = self._make_claims("third")
        self.assertNotIsInstance(await self._claim("third"), Claimed)

    # Guards against a payment that runs twice: its node ended before the
    # restore, so that nobody writes the claim back.
    async def test_claim_of_a_node_that_ended_is_not_lost(self):
        await self._claim("second", "claims/of-second")
        copy = self.store.take_copy()
        self.assertIsInstance(await self._claim("first"), Claimed)
        await self.restorers.pop("first").close()
        self.store.restore(copy)
        await self.clients["second"].get("any")
        await asyncio.sleep(RESTORE_GRACE_S + POLL_S)
        self.assertNotIsInstance(await self._claim("second"), Claimed)

    # Guards against a claim that stays lost: after a lost answer the restorer
    # takes a claim that it has just written for one of the copy.
    async def test_all_claims_are_written_back_when_an_answer_is_lost(self):
        held = self.claims["first"].held
        keys = {f"claims/{number}" for number in range(40)}
        for key in sorted(keys):
            held.add(key, Claim("first", 1, key, "f", 0), read_now())
        self.store.faults = StoreFaults(lose_answers=1)
        self.restorers["first"].handle_restore()
        await asyncio.sleep(2.0)
        self.assertLessEqual(keys, set(self.store.list_keys()))


if __name__ == "__main__":
    unittest.main()
