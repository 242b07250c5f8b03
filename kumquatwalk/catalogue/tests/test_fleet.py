"""Tests that edits reach all nodes despite faults and never revert."""

import json
import threading
import unittest

import urllib3
from click.testing import CliRunner

from kumquatwalk.catalogue.change import Change
from kumquatwalk.catalogue.codec import encode_catalogue
from kumquatwalk.catalogue.document import Catalogue
from kumquatwalk.catalogue.store import CATALOGUE_KEY
from kumquatwalk.catalogue.store import CatalogueStore
from kumquatwalk.catalogue.tests.examples import ADMIN
from kumquatwalk.catalogue.tests.examples import make_change
from kumquatwalk.catalogue.tests.examples import make_entry
from kumquatwalk.cli.main import main
from kumquatwalk.exception import EditConflictError
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.standin.fleet import LocalFleet
from kumquatwalk.standin.fleet import make_host
from kumquatwalk.standin.fleet import wait_until

HANG_GUARD_S = 60.0
READ_INTERVAL_S = 0.02
ZONES = (1, 2, 3)
NUMBERS = (1, 2)
CUT_ZONE = 3


def make_node_id(zone, number):
    """Return the name of a node."""
    return f"z{zone}-vm{number}"


class RevisionRecorder(threading.Thread):
    """Polls the catalogue revision of each node and records decreases.

    Args:
        read_revisions: Returns the active revision of each node.
    """

    def __init__(self, read_revisions):
        super().__init__(daemon=True)
        self.reverted = []
        self._read_revisions = read_revisions
        self._stopping = threading.Event()

    def run(self):
        """Record each revision that is lower than an earlier one."""
        highest = {}
        while not self._stopping.is_set():
            for node_id, revision in self._read_revisions().items():
                if revision < highest.get(node_id, 0):
                    self.reverted.append((node_id, revision))
                highest[node_id] = max(revision, highest.get(node_id, 0))
            self._stopping.wait(READ_INTERVAL_S)

    def close(self):
        """Stop reading."""
        self._stopping.set()
        self.join(HANG_GUARD_S)


class FleetTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.fleet = LocalFleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start_platform()
        for zone in ZONES:
            for number in NUMBERS:
                cls.start_node(zone, number)
        cls.client = BlockingStoreClient(
            cls.fleet.platform_address, timeout_s=HANG_GUARD_S
        )
        cls.store = CatalogueStore(cls.client)
        cls.number = 0
        cls.http = urllib3.PoolManager(
            maxsize=4, retries=False, timeout=HANG_GUARD_S
        )

    def setUp(self):
        self.recorder = RevisionRecorder(self.read_revisions)
        self.recorder.start()
        self.addCleanup(self.set_platform_faults)

    def tearDown(self):
        self.recorder.close()
        self.assertEqual(self.recorder.reverted, [])

    @classmethod
    def start_node(cls, zone, number):
        """Start a node whose peers are the running nodes."""
        host = make_host(zone, number)
        cls.fleet.start_node(make_node_id(zone, number), f"z{zone}", host)

    def set_platform_faults(self, **faults):
        """Replace the faults of the platform."""
        address = self.fleet.platform_address
        self.fleet.put_json(address, "/faults", faults)

    def read_revisions(self):
        """Return the revision that each running node reports."""
        revisions = {}
        for node_id, child in list(self.fleet.nodes.items()):
            if child.is_running():
                local = child.addresses["local"]
                url = f"http://{local}/kumquatwalk/status"
                shown = self.http.request("GET", url).json()
                revisions[node_id] = shown["catalogue_revision"]
        return revisions

    def edit(self, name="a"):
        """Make the next edit and return its revision."""
        cls = type(self)
        cls.number += 1
        entry = make_entry(name, service=f"s{self.number}")
        change = make_change(entry, self.number)
        return self.store.edit((change,), ADMIN)[-1].revision

    def overwrite(self, value):
        """Write raw bytes as the document and wait for the next watch."""
        address = self.fleet.platform_address

        def count_watches():
            return self.fleet.read_json(address, "/stats")["kv-watch"]

        before = count_watches()
        present = self.client.get(CATALOGUE_KEY)
        self.client.put(CATALOGUE_KEY, value, present.position)
        wait_until(
            lambda: count_watches() > before, "a new watch", HANG_GUARD_S
        )

    def wait_until_active(self, revision, excluded=()):
        """Wait until all nodes except the excluded ones use the revision."""

        def is_active():
            found = self.read_revisions()
            return all(
                found_revision == revision
                for node_id, found_revision in found.items()
                if node_id not in excluded
            )

        wait_until(is_active, f"revision {revision}", HANG_GUARD_S)

    def read_status(self, *node_ids):
        """Return the rows of the status command by node."""
        command = ["catalogue", "status", "--json", "--platform-timeout", "30"]
        command += ["--platform", self.fleet.platform_address]
        for node_id in node_ids:
            local = self.fleet.nodes[node_id].addresses["local"]
            command += ["--node", local]
        result = CliRunner().invoke(main, command)
        self.assertEqual(result.exit_code, 0, result.output)
        rows = json.loads(result.stdout)["nodes"]
        return {row["node_id"]: row for row in rows}

    def test_edits_of_racing_operators_with_lost_answers(self):
        self.set_platform_faults(lose_answers=4)
        before = self.store.load().catalogue.revision

        def edit_often(name):
            client = BlockingStoreClient(
                self.fleet.platform_address, timeout_s=HANG_GUARD_S
            )
            store = CatalogueStore(client)
            for i in range(4):
                entry = make_entry(name, service=f"s{i}")
                change = Change(name, entry, f"{name}{i}".rjust(16, "0"))
                try:
                    store.edit((change,), ADMIN)
                except EditConflictError:
                    pass

        threads = [
            threading.Thread(target=edit_often, args=(name,))
            for name in ("aa", "bb", "cc")
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(HANG_GUARD_S)
        revision = self.store.load().catalogue.revision
        self.assertGreater(revision, before)
        self.wait_until_active(revision)

    def test_earlier_values_from_the_platform_are_not_taken(self):
        self.edit()
        self.wait_until_active(self.edit())
        self.set_platform_faults(stale_reads=True)
        earlier = self.client.get(CATALOGUE_KEY)
        self.set_platform_faults()
        revision = self.edit()
        self.wait_until_active(revision)
        present = self.client.get(CATALOGUE_KEY)
        self.assertNotEqual(earlier.value, present.value)
        self.overwrite(earlier.value)
        self.wait_until_active(revision)
        self.overwrite(present.value)
        self.wait_until_active(self.edit())

    def test_corrupt_documents_are_not_taken(self):
        revision = self.edit()
        self.wait_until_active(revision)
        present = self.client.get(CATALOGUE_KEY)
        broken = make_entry("a", calls=("none",))
        invalid = encode_catalogue(Catalogue(10**6, {"a": broken}))
        for value in (b"{", invalid, b"x" * 1_000_000):
            self.overwrite(value)
            self.wait_until_active(revision)
        self.overwrite(present.value)
        following = self.edit()
        self.assertEqual(following, revision + 1)
        self.wait_until_active(following)

    def test_node_restarted_in_an_outage_learns_from_peers(self):
        revision = self.edit()
        self.wait_until_active(revision)
        self.set_platform_faults(outage=True)
        self.recorder.close()
        self.fleet.nodes["z2-vm2"].stop()
        self.start_node(2, 2)
        self.wait_until_active(revision)
        self.set_platform_faults()
        self.wait_until_active(self.edit())

    def test_frozen_node_has_the_change_once_it_wakes(self):
        frozen = self.fleet.nodes["z2-vm1"]
        self.wait_until_active(self.edit())
        self.recorder.close()
        frozen.suspend()
        self.addCleanup(frozen.resume)
        revision = self.edit()
        frozen.resume()
        self.wait_until_active(revision)

    def test_zones_cut_off_from_each_other_use_the_platform(self):
        for node_id in self.fleet.nodes:
            zone = int(node_id[1])
            others = [f"127.{other}." for other in ZONES if other != zone]
            self.fleet.block_hosts(node_id, tuple(others))
            self.addCleanup(self.fleet.block_hosts, node_id, ())
        self.wait_until_active(self.edit())

    def test_zone_cut_off_from_all_catches_up_when_healed(self):
        inside = [make_node_id(CUT_ZONE, number) for number in NUMBERS]
        outside = [n for n in self.fleet.nodes if n not in inside]
        before = self.edit()
        self.wait_until_active(before)
        self.set_platform_faults(cut_hosts=[f"127.{CUT_ZONE}."])
        for node_id in inside:
            self.fleet.block_hosts(node_id, ("127.1.", "127.2."))
        for node_id in outside:
            self.fleet.block_hosts(node_id, (f"127.{CUT_ZONE}.",))
        after = self.edit()
        self.wait_until_active(after, excluded=inside)
        wait_until(
            lambda: self.read_status("z1-vm1", inside[0])[inside[0]]["reach"]
            == "cut_off",
            "the status to show the cut",
            HANG_GUARD_S,
        )
        row = self.read_status("z1-vm1", inside[0])[inside[0]]
        self.assertEqual((row["revision"], row["is_current"]), (before, False))
        self.set_platform_faults()
        for node_id in self.fleet.nodes:
            self.fleet.block_hosts(node_id, ())
        self.wait_until_active(after)
        wait_until(
            lambda: {r["reach"] for r in self.read_status("z1-vm1").values()}
            == {"alive"},
            "the status to show the healed cut",
            HANG_GUARD_S,
        )
