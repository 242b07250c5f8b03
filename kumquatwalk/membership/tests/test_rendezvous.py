"""Tests of kumquatwalk.membership.rendezvous_keeper and representatives."""

import dataclasses
import random
import time
import unittest

from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.config import MembershipConfig
from kumquatwalk.membership.member import Member
from kumquatwalk.membership.member import MemberState
from kumquatwalk.membership.rendezvous import Rendezvous
from kumquatwalk.membership.rendezvous_config import RendezvousConfig
from kumquatwalk.membership.rendezvous_keeper import RendezvousKeeper
from kumquatwalk.membership.rendezvous_keeper import format_point
from kumquatwalk.membership.rendezvous_keeper import parse_point
from kumquatwalk.membership.representatives import choose_representatives
from kumquatwalk.membership.service import Membership
from kumquatwalk.membership.snapshot import Snapshot
from kumquatwalk.platform.key_value import KeyValue
from kumquatwalk.platform.lease import Lease

HANG_GUARD_S = 60.0


class FakeStore:
    """Keys with leases that lapse, on the test's own time."""

    def __init__(self):
        self.now = 0.0
        self.is_out = False
        self.calls = 0
        self.revision = 0
        self.values: dict[str, KeyValue] = {}
        self.ends: dict[str, float] = {}

    def _enter(self) -> None:
        self.calls += 1
        if self.is_out:
            raise PlatformUnavailableError("out", "out")
        for key, found in list(self.values.items()):
            if self.ends.get(found.lease_id, 0.0) <= self.now:
                del self.values[key]

    def get(self, key):
        """Return the value of a key."""
        self._enter()
        return self.values.get(key)

    def put(self, key, value, expected_revision, lease_id=None):
        """Write a value if the key is at the expected revision."""
        self._enter()
        found = self.values.get(key)
        if (found.revision if found else 0) != expected_revision:
            raise CompareFailedError("compare_failed", key)
        self.revision += 1
        self.values[key] = KeyValue(key, value, self.revision, lease_id)
        return self.values[key]

    def grant_lease(self, ttl_s):
        """Return a new lease."""
        self._enter()
        lease = Lease(f"lease-{len(self.ends)}", ttl_s)
        self.ends[lease.lease_id] = self.now + ttl_s
        return lease

    def renew_lease(self, lease_id):
        """Renew a lease."""
        self._enter()
        self.ends[lease_id] = self.now + 30.0


def make_members(per_zone: int) -> list[Member]:
    """Return members of three zones."""
    return [
        Member(f"node-{z}-{n}", 1, 0, f"zone-{z}", f"127.{z}.0.{n}", 1, 7)
        for z in (1, 2, 3)
        for n in range(1, per_zone + 1)
    ]


class RepresentativesTest(unittest.TestCase):
    """Choice of the representatives."""

    def test_only_a_lost_representative_is_replaced(self):
        members = make_members(10)
        first = choose_representatives(members, "zone-2")
        lost = dataclasses.replace(first[0], state=MemberState.DEAD)
        others = [m for m in members if m != first[0]] + [lost]
        second = choose_representatives(others, "zone-2")
        self.assertEqual(first[1], second[0])
        self.assertEqual(2, len({m.node_id for m in second}))
        self.assertTrue(all(m.zone == "zone-2" for m in second))
        bystanders = [m for m in members if m not in first][:5]
        fewer = [m for m in members if m not in bystanders]
        self.assertEqual(first, choose_representatives(fewer, "zone-2"))


class RendezvousTest(unittest.TestCase):
    """The thread, with a membership service over real sockets."""

    def test_lone_node_takes_its_key_and_closes(self):
        store = FakeStore()
        config = MembershipConfig("new", 1, "zone-1", "127.1.0.1", 1, 0)
        membership = Membership(config)
        membership.start()
        self.addCleanup(membership.close)
        settings = RendezvousConfig("new", "zone-1", ("zone-1",))
        rendezvous = Rendezvous(settings, membership, store)
        rendezvous.start()
        guard = time.monotonic() + HANG_GUARD_S
        while not store.values:
            self.assertLess(time.monotonic(), guard, "hang guard")
            time.sleep(0.01)
        rendezvous.close()
        point = parse_point(store.values["rendezvous/zone-1/0"].value)
        address = Address("127.1.0.1", membership.gossip_port)
        self.assertEqual(("new", address), point)


class RendezvousKeeperTest(unittest.TestCase):
    """Keys held and read, driven by now."""

    def setUp(self):
        self.store = FakeStore()
        self.seeds: dict[str, frozenset[Address]] = {}
        self.keepers: dict[str, RendezvousKeeper] = {}
        self.due: dict[str, float] = {}

    def _run(self, members: list[Member], until: float) -> None:
        """Step each member's keeper when it is due."""
        living = [m for m in members if m.state == MemberState.ALIVE]
        for member in living:
            self._make_keeper(member)
        snapshot = Snapshot.of(1, members)
        while self.store.now < until:
            self.store.now += 0.25
            now = self.store.now
            for member in living:
                if self.due.get(member.node_id, 0.0) <= now:
                    keeper = self.keepers[member.node_id]
                    wait_s = keeper.step(snapshot, now)
                    self.due[member.node_id] = now + wait_s

    def _make_keeper(self, member: Member) -> None:
        config = RendezvousConfig(
            member.node_id, member.zone, ("zone-1", "zone-2", "zone-3")
        )
        self.keepers.setdefault(
            member.node_id,
            RendezvousKeeper(
                config,
                self.store,
                lambda s: self.seeds.__setitem__(member.node_id, s),
                random.Random(member.node_id),
                self.store.now,
            ),
        )

    def _holders(self) -> set[str]:
        self.store.get("")
        return {parse_point(v.value)[0] for v in self.store.values.values()}

    def _chosen(self, members: list[Member]) -> set[str]:
        zones = ("zone-1", "zone-2", "zone-3")
        return {
            m.node_id for z in zones for m in choose_representatives(members, z)
        }

    def test_representatives_hold_the_keys_and_keep_them(self):
        members = make_members(5)
        self._run(members, 100.0)
        self.assertEqual(self._chosen(members), self._holders())

    def test_dead_holder_is_replaced(self):
        members = make_members(5)
        self._run(members, 40.0)
        lost = choose_representatives(members, "zone-1")[0]
        members.remove(lost)
        members.append(dataclasses.replace(lost, state=MemberState.DEAD))
        self._run(members, 80.0)
        self.assertEqual(self._chosen(members), self._holders())

    def test_key_of_another_living_holder_is_asked_for_seldom(self):
        first, second = choose_representatives(make_members(9), "zone-1")
        other = KeyValue("", format_point(second), 1, "other")
        self.store.values["rendezvous/zone-1/0"] = other
        self.store.ends["other"] = 1000.0
        self._make_keeper(first)
        snapshot = Snapshot.of(1, (first, second))
        while self.store.now < 60.0:
            keeper = self.keepers[first.node_id]
            self.store.now += keeper.step(snapshot, self.store.now)
        self.assertLess(self.store.calls, 25)
        self.assertEqual(other, self.store.get("rendezvous/zone-1/0"))

    def test_lone_node_finds_the_representatives(self):
        members = make_members(3)
        self._run(members, 20.0)
        newcomer = Member("new", 1, 0, "zone-1", "127.1.0.99", 1, 7)
        self._run([newcomer], 25.0)
        self.assertEqual(6, len(self.seeds["new"]))
        self.assertEqual(self._chosen(members), self._holders())

    def test_key_that_was_lost_is_taken_again(self):
        members = make_members(5)
        self._run(members, 40.0)
        self.store.values.clear()
        self._run(members, 140.0)
        self.assertEqual(self._chosen(members), self._holders())

    def test_load_does_not_grow_with_the_nodes(self):
        calls = []
        for per_zone in (4, 40):
            self.setUp()
            self._run(make_members(per_zone), 20.0)
            before = self.store.calls
            self._run(make_members(per_zone), 200.0)
            calls.append(self.store.calls - before)
        self.assertLessEqual(calls[1], calls[0] * 1.2)

    def test_outage_at_cold_start_is_waited_out(self):
        members = make_members(1)[:1]
        self.store.is_out = True
        self._run(members, 60.0)
        self.assertLess(self.store.calls, 20)
        self.store.is_out = False
        self._run(members, 95.0)
        self.assertEqual({members[0].node_id}, self._holders())

    def test_malformed_value_is_ignored(self):
        for value in (b"", b"a b c", b"a 1.2.3.4 0", b"\xff 1 2", b"a b 7 c"):
            self.assertIsNone(parse_point(value))


if __name__ == "__main__":
    unittest.main()
