"""Tests of kumquatwalk.membership.endpoint."""

import select
import unittest

from kumquatwalk.exception import MembershipError
from kumquatwalk.membership.address import Address
from kumquatwalk.membership.datagram import Datagram
from kumquatwalk.membership.endpoint import Endpoint

HANG_GUARD_S = 30.0


class EndpointTest(unittest.TestCase):
    """Two endpoints on loopback, one of which may block the other."""

    def setUp(self):
        self.blocked: set[str] = set()
        self.first = self._open("127.1.0.1", self.blocked.__contains__)
        self.second = self._open("127.2.0.1", lambda _: False)

    def _open(self, host, is_blocked) -> Endpoint:
        endpoint = Endpoint(Address(host, 0), is_blocked)
        self.addCleanup(endpoint.close)
        return endpoint

    def _send(self, sender: Endpoint, receiver: Endpoint, data: bytes) -> None:
        host = "127.2.0.1" if receiver is self.second else "127.1.0.1"
        sender.send([Datagram(data, Address(host, receiver.port))])

    def _receive(self, receiver: Endpoint) -> list[bytes]:
        ready, _, _ = select.select((receiver,), (), (), HANG_GUARD_S)
        self.assertTrue(ready, "hang guard")
        return [datagram.data for datagram in receiver.receive()]

    def test_datagrams_arrive_and_are_counted(self):
        self._send(self.first, self.second, b"abc")
        self.assertEqual([b"abc"], self._receive(self.second))
        self.assertEqual(3, self.first.counters.bytes_sent)
        self.assertEqual(1, self.first.counters.datagrams_sent)
        self.assertEqual(3, self.second.counters.bytes_received)
        self.assertEqual(1, self.second.counters.datagrams_received)

    def test_nothing_is_sent_to_a_blocked_host(self):
        self.blocked.add("127.2.0.1")
        self._send(self.first, self.second, b"abc")
        self.blocked.clear()
        self._send(self.first, self.second, b"def")
        self.assertEqual([b"def"], self._receive(self.second))
        self.assertEqual(1, self.first.counters.dropped_blocked)

    def test_nothing_is_taken_from_a_blocked_host(self):
        self.blocked.add("127.2.0.1")
        self._send(self.second, self.first, b"abc")
        self.assertEqual([], self._receive(self.first))
        self.assertEqual(1, self.first.counters.dropped_blocked)

    def test_address_in_use_is_an_error_with_a_code(self):
        with self.assertRaisesRegex(MembershipError, "bind_failed"):
            self._open_again()

    def _open_again(self) -> None:
        Endpoint(Address("127.1.0.1", self.first.port), lambda _: False)


if __name__ == "__main__":
    unittest.main()
