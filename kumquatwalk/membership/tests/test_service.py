"""Tests of kumquatwalk.membership.service over real sockets."""

import itertools
import threading
import time
import unittest
import unittest.mock

from kumquatwalk.membership import Address
from kumquatwalk.membership import BroadcastKind
from kumquatwalk.membership import Membership
from kumquatwalk.membership import MembershipCallbacks
from kumquatwalk.membership import MembershipConfig
from kumquatwalk.membership import MemberState
from kumquatwalk.membership import TargetInfo
from kumquatwalk.membership import TargetState

HANG_GUARD_S = 60.0
POLL_S = 0.01


class MembershipTest(unittest.TestCase):
    """Three services in one process, on three loopback addresses."""

    def setUp(self):
        self.received: list[tuple[int, bytes]] = []
        self.blocked: set[frozenset[str]] = set()
        self.services: list[Membership] = []
        for number in (1, 2, 3):
            self.services.append(self._start(number))

    def _start(self, number: int, incarnation: int = 1) -> Membership:
        host = f"127.{number}.0.1"
        peers = tuple(
            Address(f"127.{n}.0.1", service.gossip_port)
            for n, service in zip(itertools.count(1), self.services)
            if n != number
        )
        config = MembershipConfig(
            f"node-{number}", incarnation, f"zone-{number}", host, 1, 0, peers
        )
        callbacks = MembershipCallbacks(
            on_broadcast=lambda _, data: self.received.append((number, data))
        )
        service = Membership(
            config,
            callbacks,
            lambda other: frozenset((host, other)) in self.blocked,
        )
        service.start()
        self.addCleanup(service.close)
        return service

    def _await(self, condition) -> None:
        guard = time.monotonic() + HANG_GUARD_S
        while not condition():
            self.assertLess(time.monotonic(), guard, "hang guard")
            time.sleep(POLL_S)

    def _states(self, index: int) -> list[MemberState]:
        members = self.services[index].snapshot().members
        return [members[node_id].state for node_id in sorted(members)]

    def _count_failed(self) -> int:
        """Return the number of services that have had an error."""
        return sum(s.counters().failures > 0 for s in self.services)

    def _await_all_alive(self) -> None:
        alive = [MemberState.ALIVE] * 3
        self._await(lambda: all(self._states(i) == alive for i in range(3)))

    def test_all_join(self):
        self._await_all_alive()
        self.assertTrue(self.services[2].wait_joined(HANG_GUARD_S))

    def test_broadcast_reaches_the_others(self):
        self._await_all_alive()
        self.services[0].broadcast(BroadcastKind.CATALOGUE_RECORD, b"x" * 1000)
        self._await(lambda: len(self.received) == 2)
        self.assertEqual({2, 3}, {number for number, _ in self.received})

    def test_publish_reaches_the_index(self):
        self._await_all_alive()
        target = TargetInfo("payments", 120, 800, TargetState.DRAINING)
        self.services[0].publish(target)
        self._await(lambda: self.services[2].snapshot().members_of("payments"))
        (member,) = self.services[2].snapshot().members_of("payments")
        self.assertEqual(target, member.target)

    def test_leave_is_known(self):
        self._await_all_alive()
        self.services[0].leave()
        self._await(lambda: MemberState.LEFT in self._states(2))
        self.assertNotIn(MemberState.DEAD, self._states(2))

    def test_cut_and_heal(self):
        self._await_all_alive()
        self.blocked.add(frozenset(("127.1.0.1", "127.2.0.1")))
        self.blocked.add(frozenset(("127.1.0.1", "127.3.0.1")))
        self._await(lambda: self._states(0).count(MemberState.DEAD) == 2)
        self._await(lambda: MemberState.DEAD in self._states(2))
        self.blocked.clear()
        self._await_all_alive()

    def test_error_in_a_callback_does_not_end_the_service(self):
        self._await_all_alive()
        hook = unittest.mock.Mock()
        with unittest.mock.patch("threading.excepthook", hook):
            self.received = None  # Makes the callbacks raise.
            self.services[0].broadcast(BroadcastKind.CRASH_REPORT, b"x")
            self._await(lambda: self._count_failed() == 2)
        self.assertTrue(hook.called)
        self.services[0].leave()
        self._await(lambda: MemberState.LEFT in self._states(2))

    def test_close_from_several_threads_ends(self):
        closers = [
            threading.Thread(target=service.close) for service in self.services
        ]
        for closer in closers:
            closer.start()
        for closer in closers:
            closer.join(HANG_GUARD_S)
            self.assertFalse(closer.is_alive())


if __name__ == "__main__":
    unittest.main()
