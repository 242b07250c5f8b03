"""Tests of nodes whose store comes back from an older copy of itself."""

import asyncio
import json
import unittest

from kumquatwalk.address import Address
from kumquatwalk.clock import read_now
from kumquatwalk.daemon.roster_sync import KEY_PREFIX
from kumquatwalk.daemon.roster_sync import RosterSync
from kumquatwalk.daemon.status import PATH_STATUS
from kumquatwalk.daemon.status import StatusHandler
from kumquatwalk.daemon.store_watcher import StoreWatcher
from kumquatwalk.http1.message import HttpRequest
from kumquatwalk.platform.store import StoreClient
from kumquatwalk.platform.store_items import Deletion
from kumquatwalk.platform.store_items import StoreItem
from kumquatwalk.roster.entry import RosterEntry
from kumquatwalk.roster.entry import encode_entry
from kumquatwalk.roster.registration import Registration
from kumquatwalk.standin.daemon_fleet import DaemonFleet
from kumquatwalk.standin.daemon_fleet import make_config
from kumquatwalk.standin.kv_store import KvStore
from kumquatwalk.standin.store_faults import StoreFaults

# Bound of the operators' rule on the time until a change is in force.
CONFIG_APPLY_S = 2.0
READ_INTERVAL_S = 0.05
POLL_S = 0.01


class WatchedKeys:
    """Items below a prefix as a watcher reports them.

    Args:
        store: Store that is watched.
        is_watching: Whether changes are watched for, not read at intervals.
    """

    def __init__(self, store: KvStore, is_watching: bool):
        self.values: dict[str, bytes] = {}
        self.client = StoreClient(store.address, 1.5)
        self.watcher = StoreWatcher(
            self.client,
            "a/",
            self._apply_snapshot,
            self._apply_event,
            lambda: is_watching,
            lambda: READ_INTERVAL_S,
        )

    def close(self) -> None:
        """Stop watching."""
        self.watcher.close()
        self.client.close()

    async def wait_for(self, key: str, value: bytes) -> None:
        """Wait until a key has a value.

        Raises:
            TimeoutError: It did not have it within ``CONFIG_APPLY_S``.
        """
        async with asyncio.timeout(CONFIG_APPLY_S):
            while self.values.get(key) != value:
                await asyncio.sleep(POLL_S)

    def _apply_snapshot(self, snapshot) -> None:
        self.values = {item.key: item.value for item in snapshot.items}

    def _apply_event(self, event: StoreItem | Deletion) -> None:
        if isinstance(event, StoreItem):
            self.values[event.key] = event.value
        else:
            self.values.pop(event.key, None)


class RecordingPeers:
    """Stand-in for ``Peers`` that records the ports of the roster."""

    def __init__(self):
        self.ports: dict[str, int] = {}

    def set_roster(self, entries) -> None:
        """Record the port of each node."""
        self.ports = {e.node_id: e.link.port for e in entries}

    def list_reachable_ids(self) -> frozenset[str]:
        """Return no nodes."""
        return frozenset()


def make_entry(name: str, port: int) -> RosterEntry:
    """Return the roster entry of a node."""
    return RosterEntry(name, 1, "z1", "web", Address("10.0.0.1", port))


class RestoredWatchTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.store = KvStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.store.put("a/config", b"1")
        self.copy = self.store.take_copy()
        for number in range(9):
            self.store.put("a/config", b"lost %d" % number)

    async def _watch(self, is_watching: bool) -> WatchedKeys:
        keys = WatchedKeys(self.store, is_watching)
        self.addCleanup(keys.close)
        keys.watcher.start()
        await keys.wait_for("a/config", b"lost 8")
        return keys

    # Guards against changes missed for as long as the revisions of a restored
    # store are below those seen before: they were dropped as an old state.
    async def test_node_that_reads_at_intervals_follows_a_restored_store(self):
        keys = await self._watch(is_watching=False)
        self.store.restore(self.copy)
        self.store.put("a/config", b"again")
        await keys.wait_for("a/config", b"again")

    # Guards against changes missed in silence: a watch went on from a revision
    # that the restored store had given out again by then.
    async def test_watch_misses_nothing_when_revisions_were_given_out_again(
        self,
    ):
        keys = await self._watch(is_watching=True)
        self.store.is_down = True
        self.store.restore(self.copy)
        self.store.put("a/config", b"again")
        for number in range(20):
            self.store.put("b/other", b"%d" % number)
        await asyncio.sleep(0.3)
        self.store.is_down = False
        await keys.wait_for("a/config", b"again")

    # Guards against a watch that waits for the next change although it broke
    # off, because the restored store is at the same revision by chance.
    async def test_watch_that_broke_off_begins_with_a_list(self):
        keys = await self._watch(is_watching=True)
        self.store.faults = StoreFaults(outage=True)
        self.store.restore(self.copy)
        for number in range(9):
            self.store.put("a/config", b"again %d" % number)
        await asyncio.sleep(0.3)
        self.store.faults = StoreFaults()
        await keys.wait_for("a/config", b"again 8")

    # Guards against a watch that waits in the new era for changes after a
    # revision of the old one, while another call has shown the restore.
    async def test_watch_is_begun_anew_when_another_call_shows_a_restore(self):
        keys = await self._watch(is_watching=True)
        keys.client.era.on_restore = keys.watcher.handle_restore
        self.store.restore(self.copy, cut_watches=False)
        self.store.put("a/config", b"again")
        await keys.client.get("b/other")
        await keys.wait_for("a/config", b"again")


class RestoredRosterTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.store = KvStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)

    async def _register(self, name: str) -> Registration:
        client = StoreClient(self.store.address, 1.5)
        self.addCleanup(client.close)
        registration = Registration(
            client, f"nodes/{name}", lambda: make_entry(name, 1)
        )
        client.era.on_restore = registration.handle_restore
        self.addCleanup(registration.close)
        registration.start()
        await self._wait_for_key(f"nodes/{name}")
        return registration

    async def _wait_for_key(self, key: str) -> None:
        async with asyncio.timeout(CONFIG_APPLY_S):
            while key not in self.store.list_keys():
                await asyncio.sleep(POLL_S)

    # Guards against a node that renews the lease of another one, because the
    # restored store gave out its number again, while its own entry is gone.
    async def test_node_whose_lease_was_given_out_again_registers_anew(self):
        copy = self.store.take_copy()
        first = await self._register("first")
        self.store.restore(copy)
        await self._register("second")
        first.mark_outdated()
        async with asyncio.timeout(CONFIG_APPLY_S):
            while not self._has_lease_of_its_own("first"):
                await asyncio.sleep(POLL_S)

    def _has_lease_of_its_own(self, name: str) -> bool:
        leases = {
            key: self.store.find_lease(key) for key in self.store.list_keys()
        }
        own = leases.pop(f"nodes/{name}", 0)
        return own > 0 and own not in leases.values()

    # Guards against calls to a node's former address: the entry seen at a
    # revision before the restore was taken for another at the same revision.
    async def test_entry_at_a_revision_given_out_again_is_read(self):
        copy = self.store.take_copy()
        client = StoreClient(self.store.address, 1.5)
        self.addCleanup(client.close)
        peers = RecordingPeers()
        sync = RosterSync(client, "own", lambda: make_entry("own", 1), peers)
        self.addCleanup(sync.close)
        self.store.put(KEY_PREFIX + "web", encode_entry(make_entry("web", 1)))
        sync.start()
        await self._wait_for_port(peers, 1)
        self.store.restore(copy)
        self.store.put(KEY_PREFIX + "web", encode_entry(make_entry("web", 2)))
        await self._wait_for_port(peers, 2)

    async def _wait_for_port(self, peers: RecordingPeers, port: int) -> None:
        async with asyncio.timeout(CONFIG_APPLY_S):
            while peers.ports.get("web") != port:
                await asyncio.sleep(POLL_S)


class RestoredFleetTest(unittest.IsolatedAsyncioTestCase):

    async def asyncSetUp(self):
        self.fleet = DaemonFleet()
        await self.fleet.start(make_config(("web",)))
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.add_node("web-1", "web")

    async def _wait_for_version(self, name: str, version: int) -> None:
        configs = self.fleet.nodes[name].daemon.core.configs
        async with asyncio.timeout(CONFIG_APPLY_S):
            while configs.version != version:
                await asyncio.sleep(POLL_S)

    # Guards against an entry that is missing from the restored store until a
    # renewal fails: the node compared revisions of both sides of the restore.
    async def test_entry_that_was_lost_is_written_again(self):
        await self.fleet.wait_until_ready()
        copy = self.fleet.store.take_copy()
        await self.fleet.add_node("web-2", "web")
        await self.fleet.wait_until_ready()
        self.fleet.store.restore(copy)
        key = "kumquatwalk/nodes/web-2"
        async with asyncio.timeout(CONFIG_APPLY_S):
            while key not in self.fleet.store.list_keys():
                await asyncio.sleep(POLL_S)

    # Guards against a target that counts twice: the copy names a node that has
    # left, at an address that another node has now.
    async def test_node_that_left_is_not_taken_for_the_one_at_its_address(self):
        second = await self.fleet.add_node("web-2", "web")
        await self.fleet.wait_until_ready()
        link = second.settings.link_listener
        entry = RosterEntry("web-0", 1, "z1", "web", link)
        self.fleet.store.put(KEY_PREFIX + "web-0", encode_entry(entry))
        core = self.fleet.nodes["web-1"].daemon.core
        core.roster.handle_restore()
        async with asyncio.timeout(CONFIG_APPLY_S):
            while core.peers.find("web-0") is None:
                await asyncio.sleep(POLL_S)
        is_linked = await core.peers.find("web-0").wait_until_usable(1.0)
        self.assertFalse(is_linked)
        self.assertEqual(core.peers.list_reachable_ids(), {"web-2"})

    # Guards against a store that is behind the fleet without anyone seeing it.
    async def test_status_shows_that_the_store_lost_the_version_in_force(self):
        await self.fleet.wait_until_ready()
        copy = self.fleet.store.take_copy()
        self.fleet.store.put("op/config", make_config(("web",), 2))
        await self._wait_for_version("web-1", 2)
        self.fleet.store.restore(copy)
        core = self.fleet.nodes["web-1"].daemon.core
        handler = StatusHandler(core)
        request = HttpRequest(
            b"GET", PATH_STATUS.encode(), (), b"", True, read_now()
        )
        async with asyncio.timeout(CONFIG_APPLY_S):
            while core.store.era.number < 2 or core.configs.stored_version > 1:
                await asyncio.sleep(POLL_S)
        status = json.loads((await handler.handle(request)).body)
        self.assertEqual(status["catalogue_revision"], 2)
        self.assertEqual(status["store_catalogue_revision"], 1)
        self.assertEqual(status["store_era"], 2)

    # Guards against a route that was added and is not served: a node started
    # on a restored store took the older configuration and kept to it.
    async def test_node_started_on_an_older_copy_takes_the_newer_version(self):
        await self.fleet.wait_until_ready()
        copy = self.fleet.store.take_copy()
        self.fleet.store.put("op/config", make_config(("web",), 2))
        await self._wait_for_version("web-1", 2)
        self.fleet.store.restore(copy)
        await self.fleet.add_node("web-2", "web")
        await self._wait_for_version("web-2", 2)


if __name__ == "__main__":
    unittest.main()
