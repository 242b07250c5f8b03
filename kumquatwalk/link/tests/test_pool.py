"""Tests of links over real sockets on loopback."""

import socket
import threading
import time
import unittest

from kumquatwalk.exception import FrameError
from kumquatwalk.exception import LinkError
from kumquatwalk.link.call import Call
from kumquatwalk.link.connection import SILENCE_TIMEOUT_S
from kumquatwalk.link.identity import Identity
from kumquatwalk.link.partition import Partition
from kumquatwalk.link.peer import Peer
from kumquatwalk.link.pool import LinkPool
from kumquatwalk.link.reply import Reply
from kumquatwalk.link.server import LinkServer
from kumquatwalk.outcome import Outcome

BYTES_MAX = 1 << 20
FAR_S = 30.0
CALL = Call(
    attempt_id=b"a" * 16,
    request_id=b"r" * 16,
    entry="pay",
    method="POST",
    url=b"/pay",
    headers=b"",
    body=b"",
    priority=0,
    depth=0,
    tokens=0,
    idempotent=False,
    protected=True,
    remaining_us=0,
)


class LinkPoolTest(unittest.TestCase):

    def setUp(self):
        self.errors: list[FrameError] = []
        self.received: list[Call] = []
        self.reply_status = 200
        self.release = threading.Event()
        self.release.set()
        self.server_partition = Partition()
        self.server = self._make_server(incarnation=1, port=0)
        self.pool_partition = Partition()
        self.pool = LinkPool(
            Identity("entry", 1, "127.0.0.1"), self.pool_partition, BYTES_MAX
        )
        self.peer = Peer("gate", "127.0.0.2", self.server.port)
        self.addCleanup(self.pool.close)

    def _make_server(self, incarnation: int, port: int) -> LinkServer:
        server = LinkServer(
            Identity("gate", incarnation, "127.0.0.2"),
            port,
            self._handle,
            lambda _, error: self.errors.append(error),
            self.server_partition,
            BYTES_MAX,
            sessions_max=16,
        )
        server.start()
        self.addCleanup(server.close)
        return server

    def _handle(self, message: Call) -> Reply:
        self.received.append(message)
        self.release.wait(FAR_S)
        return Reply(Outcome.DONE, "", self.reply_status, body=message.body)

    def _call(self, call: Call = CALL) -> Reply:
        return self.pool.call(self.peer, call, time.monotonic() + FAR_S)

    def test_large_body_comes_back_whole(self):
        body = bytes(range(256)) * 3000
        call = Call(**{**_fields(CALL), "body": body})
        self.assertEqual(self._call(call).body, body)

    def test_connection_is_used_again(self):
        self._call()
        self._call()
        self.assertEqual(len(self.received), 2)
        self.assertEqual(self.server.count_busy(), 0)

    def test_frame_carries_the_gate_s_clock(self):
        before_us = int(time.monotonic() * 1e6)
        self._call()
        after_us = int(time.monotonic() * 1e6)
        self.assertLessEqual(before_us, self.received[0].sent_at_us + 10**6)
        self.assertLessEqual(self.received[0].sent_at_us, after_us)

    def test_silent_link_is_replaced_and_the_same_attempt_sent_again(self):
        self._call()
        self.server_partition.set_prefixes(("127.0.0.1",))
        heal = threading.Timer(1.5, self.server_partition.set_prefixes, ((),))
        heal.start()
        self.addCleanup(heal.cancel)
        reply = self._call()
        self.assertIs(reply.outcome, Outcome.DONE)
        self.assertEqual(
            {call.attempt_id for call in self.received}, {CALL.attempt_id}
        )

    def test_resent_attempt_keeps_the_time_of_its_first_sending(self):
        self._call()
        cut = threading.Timer(
            0.1, self.server_partition.set_prefixes, (("127.0.0.1",),)
        )
        heal = threading.Timer(1.5, self.server_partition.set_prefixes, ((),))
        self.release.clear()
        let_go = threading.Timer(0.3, self.release.set)
        for timer in (cut, let_go, heal):
            timer.start()
            self.addCleanup(timer.cancel)
        self._call()
        _, first, *copies = self.received
        self.assertTrue(copies)
        for copy in copies:
            later_us = copy.sent_at_us - first.sent_at_us
            self.assertLess(later_us, SILENCE_TIMEOUT_S * 1_000_000)
            self.assertEqual(copy.remaining_us, first.remaining_us)

    def test_long_call_is_kept_alive_by_heartbeats(self):
        self.release.clear()
        timer = threading.Timer(2.0, self.release.set)
        timer.start()
        self.addCleanup(timer.cancel)
        self._call()
        self.assertEqual(len(self.received), 1)

    def test_refused_connection_is_certainly_not_sent(self):
        self.server.close()
        with self.assertRaises(LinkError) as caught:
            self._call()
        self.assertFalse(caught.exception.sent)

    def test_cut_peer_is_certainly_not_sent(self):
        self.pool_partition.set_prefixes(("127.0.0.2",))
        with self.assertRaises(LinkError) as caught:
            self._call()
        self.assertFalse(caught.exception.sent)

    def test_reply_that_cannot_be_encoded_is_unknown(self):
        self.reply_status = -1
        reply = self._call()
        self.assertIs(reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(reply.code, "internal_error")
        self.assertEqual(len(self.received), 1)

    def test_restarted_peer_does_not_get_the_attempt_again(self):
        self.release.clear()
        failures = []

        def call():
            try:
                self._call()
            except LinkError as error:
                failures.append(error)

        thread = threading.Thread(target=call)
        thread.start()
        while not self.received:
            time.sleep(0.01)
        self.server.close()
        self.release.set()
        try:
            self._make_server(incarnation=2, port=self.peer.port)
        finally:
            thread.join(FAR_S)
        self.assertEqual(len(self.received), 1)
        self.assertTrue(failures[0].sent)

    def test_peer_that_closed_while_idle_is_seen_before_sending(self):
        self._call()
        self.server.close()
        with self.assertRaises(LinkError) as caught:
            self._call()
        self.assertFalse(caught.exception.sent)

    def test_foreign_bytes_are_reported_and_the_link_closed(self):
        with socket.create_connection(("127.0.0.2", self.peer.port)) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            sock.settimeout(FAR_S)
            self.assertEqual(sock.recv(10), b"")
        while not self.errors:
            time.sleep(0.01)
        self.assertEqual(self.errors[0].code, "frame_foreign")
        self.assertIs(self._call().outcome, Outcome.DONE)


def _fields(call: Call) -> dict:
    return {name: getattr(call, name) for name in call.__slots__}
