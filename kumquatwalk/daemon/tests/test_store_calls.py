"""Tests of how many calls a node makes to the store, in virtual time."""

import asyncio
import unittest
from unittest import mock

from kumquatwalk.address import Address
from kumquatwalk.daemon import store_watcher
from kumquatwalk.daemon.store_watcher import StoreWatcher
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.platform.store_items import Snapshot
from kumquatwalk.platform.store_items import WatchResult
from kumquatwalk.platform.store_lease import StoreLease
from kumquatwalk.platform.store_position import StorePosition
from kumquatwalk.roster import registration
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.roster.registration import Registration
from benchmarks.model.virtual_loop import VirtualLoop


class CountingStore:
    """Store that counts calls by kind; it is down in a span of time."""

    def __init__(self, down_from: float = 0.0, down_until: float = 0.0):
        self.calls: list[tuple[str, float]] = []
        self._down = (down_from, down_until)

    def count(self, kind: str, start: float = 0.0, end: float = 1e9) -> int:
        """Return the number of calls of a kind in a span of time."""
        return sum(k == kind and start <= at < end for k, at in self.calls)

    def _record(self, kind: str) -> None:
        now = asyncio.get_running_loop().time()
        self.calls.append((kind, now))
        if self._down[0] <= now < self._down[1]:
            raise PlatformUnavailableError("platform_unavailable", "down")

    async def list_items(self, _prefix, allow_stale=False):
        """Return no items."""
        self._record("stale" if allow_stale else "list")
        return Snapshot((), StorePosition(1, 5))

    async def watch(self, _prefix, after, wait_s):
        """Wait without a change."""
        self._record("watch")
        await asyncio.sleep(wait_s)
        return WatchResult((), after)

    async def grant_lease(self, _ttl_s):
        """Return a lease."""
        self._record("lease")
        return StoreLease(1, 7)

    async def renew_lease(self, _lease):
        """Renew it."""
        self._record("renew")

    async def commit(self, _puts):
        """Write the entry."""
        self._record("commit")
        return StorePosition(1, 6)


class StoreCallsTest(unittest.TestCase):

    def play(self, store, make_part, seconds: float = 42.0) -> None:
        """Run a part of a node for some virtual time."""
        loop = VirtualLoop()

        async def run():
            part = make_part(store)
            part.start()
            await asyncio.sleep(seconds)
            part.close()

        with mock.patch.object(store_watcher, "read_now", loop.time):
            with mock.patch.object(registration, "read_now", loop.time):
                loop.run_until_complete(run())
        loop.close()

    def make_watcher(self, store, has_duty: bool) -> StoreWatcher:
        """Return a watcher as the configuration has it."""
        return StoreWatcher(
            store,
            "op/",
            lambda _: None,
            lambda _: None,
            lambda: has_duty,
            lambda: 10.0,
        )

    def make_registration(self, store) -> Registration:
        """Return the registration of a node."""
        entry = RosterEntry("n", 1, "z", "s", Address("10.0.0.1", 1))
        return Registration(store, "nodes/n", lambda: entry)

    def test_calm_node_without_duty_makes_one_full_read_and_cheap_ones(self):
        store = CountingStore()
        self.play(store, lambda s: self.make_watcher(s, False))
        self.assertEqual((store.count("list"), store.count("watch")), (1, 0))
        self.assertLessEqual(store.count("stale"), 6)

    def test_calm_node_with_the_duty_watches(self):
        store = CountingStore()
        self.play(store, lambda s: self.make_watcher(s, True))
        self.assertEqual(store.count("list"), 1)
        self.assertLessEqual(store.count("watch"), 3)

    def test_outage_costs_a_node_without_duty_few_calls(self):
        # Refused calls are charged like others: before, each node called twice
        # a second and more while the store turned it away.
        store = CountingStore(10.0, 19.0)
        self.play(store, lambda s: self.make_watcher(s, False))
        self.assertLessEqual(store.count("stale", 10.0, 19.0), 7)

    def test_lease_is_renewed_soon_after_an_outage(self):
        store = CountingStore(10.0, 19.0)
        self.play(store, self.make_registration)
        self.assertLessEqual(store.count("renew", 10.0, 19.0), 9)
        self.assertGreaterEqual(store.count("renew", 19.0, 21.0), 1)
        self.assertEqual(store.count("commit"), 1)

    def test_calm_node_renews_three_times_within_its_lease(self):
        store = CountingStore()
        self.play(store, self.make_registration)
        self.assertEqual((store.count("lease"), store.count("commit")), (1, 1))
        self.assertLessEqual(store.count("renew"), 7)
        self.assertLess(
            3 * registration.RENEWAL_INTERVAL_S, registration.LEASE_TTL_S
        )


if __name__ == "__main__":
    unittest.main()
