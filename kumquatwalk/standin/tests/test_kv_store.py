"""Tests of leases in the simulated store."""

import unittest

from kumquatwalk.exception import LeaseLostError
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Put
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.standin.kv_store import KvStore


class LeaseTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.store = KvStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.client = StoreClient(self.store.address, 5.0)
        self.addCleanup(self.client.close)
        self.lease = await self.client.grant_lease(60.0)

    async def test_lapse_deletes_the_keys(self):
        await self.client.commit([Put("a", b"", self.lease), Put("b", b"")])
        self.store.expire_lease(self.lease.number)
        self.assertIsNone(await self.client.get("a"))
        self.assertIsNotNone(await self.client.get("b"))
        with self.assertRaises(LeaseLostError):
            await self.client.commit([Put("c", b"", self.lease)])

    async def test_key_taken_over_outlives_the_lease(self):
        await self.client.commit([Put("a", b"", self.lease)])
        await self.client.commit([Put("a", b"")])
        self.store.expire_lease(self.lease.number)
        self.assertIsNotNone(await self.client.get("a"))

    async def test_key_deleted_and_made_again_outlives_the_lease(self):
        first = await self.client.commit([Put("a", b"", self.lease)])
        await self.client.commit(deletions=["a"])
        again = await self.client.commit(
            [Put("a", b"")], expected={"a": ABSENT}
        )
        self.store.expire_lease(self.lease.number)
        self.assertIsNotNone(await self.client.get("a"))
        self.assertGreater(again.revision, first.revision + 1)
