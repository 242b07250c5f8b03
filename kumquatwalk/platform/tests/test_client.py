"""Tests of the platform client against the stand-in and broken servers."""

import json
import socket
import threading
import time
import unittest

import urllib3

from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.exception import SettingError
from kumquatwalk.platform import protocol
from kumquatwalk.platform.client import PlatformClient
from kumquatwalk.standin.platform_server import PlatformServer

SHORT_TIMEOUT_S = 0.2
HANG_GUARD_S = 30.0


class StandinTest(unittest.TestCase):

    def setUp(self):
        self.server = PlatformServer("127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.server.start()
        self.client = self.make_client()

    def make_client(self, timeout_s=HANG_GUARD_S, **settings):
        client = PlatformClient(
            self.server.address, timeout_s=timeout_s, **settings
        )
        self.addCleanup(client.close)
        return client

    def set_faults(self, **faults):
        body = json.dumps(faults).encode()
        answer = self.request("PUT", "/faults", body)
        self.assertEqual(answer.status, 200)

    def request(self, method, path, body=None):
        url = f"http://{self.server.address}{path}"
        return urllib3.request(method, url, body=body, retries=False)

    def get_counts(self):
        return self.request("GET", "/stats").json()

    def check_error(self, kind, code, call, *arguments):
        with self.assertRaises(kind) as caught:
            call(*arguments)
        self.assertIs(type(caught.exception), kind)
        self.assertEqual(caught.exception.code, code)

    def test_compare_and_swap(self):
        self.assertIsNone(self.client.get("a/b"))
        first = self.client.put("a/b", b"\0\xff", 0)
        self.assertEqual(self.client.get("a/b"), first)
        second = self.client.put("a/b", b"2", first.revision)
        self.assertGreater(second.revision, first.revision)
        failed = CompareFailedError, "compare_failed"
        self.check_error(*failed, self.client.put, "a/b", b"3", first.revision)
        self.check_error(*failed, self.client.put, "a/b", b"3", 0)
        self.check_error(*failed, self.client.delete, "a/b", first.revision)
        self.assertEqual(self.client.get("a/b"), second)
        self.client.delete("a/b", second.revision)
        self.assertIsNone(self.client.get("a/b"))
        self.check_error(*failed, self.client.delete, "a/b", second.revision)
        self.check_error(*failed, self.client.put, "a/b", b"3", second.revision)

    def test_values_up_to_a_megabyte(self):
        value = b"x" * protocol.MAX_VALUE_BYTES
        self.client.put("big", value, 0)
        self.assertEqual(self.client.get("big").value, value)
        puts = self.get_counts()["put"]
        self.check_error(
            PlatformError,
            "value_too_large",
            self.client.put,
            "c",
            value + b"x",
            0,
        )
        self.assertEqual(self.get_counts()["put"], puts)
        answer = self.request("PUT", "/keys/c?expected=0", value + b"x")
        self.assertEqual(answer.status, 413)

    def test_malformed_requests_are_refused(self):
        refused = PlatformError, "key_invalid"
        self.check_error(*refused, self.client.get, "../stats")
        self.check_error(*refused, self.client.get, "a?expected=1")
        refused = PlatformError, "lease_invalid"
        self.check_error(*refused, self.client.renew_lease, "a&b")
        refused = PlatformError, "ttl_invalid"
        self.check_error(*refused, self.client.grant_lease, 0.0)
        cases = [
            ("PUT", "/keys/a", 400),
            ("PUT", "/keys/a?expected=-1", 400),
            ("GET", "/keys/%20", 400),
            ("POST", "/keys/a?expected=0", 405),
            ("GET", "/leases", 405),
            ("GET", "/other", 404),
        ]
        for method, path, status in cases:
            self.assertEqual(self.request(method, path).status, status, path)
        for body in (b"{", b"[]", b'{"x":1}', b'{"delay_ms":true}', b"null"):
            self.assertEqual(self.request("PUT", "/faults", body).status, 400)

    def test_lease_of_a_key(self):
        lease = self.client.grant_lease(3600.0)
        written = self.client.put("a", b"", 0, lease.lease_id)
        self.client.renew_lease(lease.lease_id)
        self.assertEqual(self.client.get("a"), written)
        unknown = PlatformError, "lease_unknown"
        self.check_error(*unknown, self.client.renew_lease, "none")
        self.check_error(*unknown, self.client.put, "b", b"", 0, "none")
        self.assertIsNone(self.client.get("b"))

    def test_watch_returns_a_later_write(self):
        first = self.client.put("a", b"1", 0)
        self.assertEqual(self.client.watch("a", 0, 9.0), first)
        self.assertIsNone(self.client.watch("a", first.revision, 0.01))
        self.assertIsNone(self.client.watch("none", 0, 0.01))
        seen = []
        thread = threading.Thread(
            target=lambda: seen.append(self.client.watch("a", 1, 50.0))
        )
        thread.start()
        second = self.client.put("a", b"2", first.revision)
        thread.join(HANG_GUARD_S)
        self.assertEqual(seen, [second])

    def test_outage_ends_a_waiting_watch(self):
        failed = threading.Event()

        def watch():
            try:
                self.client.watch("a", 0, 50.0)
            except PlatformReadError:
                failed.set()

        threading.Thread(target=watch, daemon=True).start()
        deadline = time.monotonic() + HANG_GUARD_S
        while not self.get_counts()["watch"]:
            self.assertLess(time.monotonic(), deadline)
        self.set_faults(outage=True)
        self.assertTrue(failed.wait(HANG_GUARD_S))

    def test_outage(self):
        self.set_faults(outage=True)
        lost = "platform_answer_lost"
        self.check_error(PlatformReadError, lost, self.client.get, "a")
        self.check_error(
            OutcomeUnknownError, lost, self.client.put, "a", b"", 0
        )
        self.set_faults()
        self.assertIsNone(self.client.get("a"))
        self.assertEqual(self.get_counts()["dropped"], 2)

    def test_lost_answers_of_writes_that_took_effect(self):
        self.set_faults(lose_answers=1)
        lost = OutcomeUnknownError, "platform_answer_lost"
        self.check_error(*lost, self.client.put, "a", b"1", 0)
        self.assertEqual(self.client.get("a").value, b"1")
        self.client.put("b", b"1", 0)
        counts = self.get_counts()
        self.assertEqual((counts["put"], counts["lost"]), (2, 1))

    def test_slow_answers_time_out(self):
        self.client = self.make_client(timeout_s=SHORT_TIMEOUT_S)
        self.set_faults(delay_ms=60_000)
        lost = "platform_answer_lost"
        self.check_error(PlatformReadError, lost, self.client.get, "a")
        self.check_error(
            OutcomeUnknownError, lost, self.client.put, "a", b"", 0
        )

    def test_stale_reads(self):
        first = self.client.put("a", b"1", 0)
        second = self.client.put("a", b"2", first.revision)
        self.set_faults(stale_reads=True)
        self.assertEqual(self.client.get("a"), first)
        self.assertEqual(self.client.watch("a", first.revision, 9.0), first)
        self.set_faults()
        self.assertEqual(self.client.get("a"), second)

    def test_hosts_that_are_cut_off(self):
        self.set_faults(cut_hosts=["127.0.3."])
        inside = self.make_client(source_host="127.0.3.7")
        lost = "platform_answer_lost"
        self.check_error(PlatformReadError, lost, inside.get, "a")
        outside = self.make_client(source_host="127.0.4.7")
        self.assertIsNone(outside.get("a"))

    def test_unreachable_address_passes_to_the_next(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            closed = f"127.0.0.1:{unused.getsockname()[1]}"
            alone = PlatformClient(closed)
            unreachable = PlatformUnavailableError, "platform_unreachable"
            self.check_error(*unreachable, alone.get, "a")
            self.check_error(*unreachable, alone.put, "a", b"", 0)
            both = PlatformClient(f"{closed}, {self.server.address}")
            self.assertEqual(both.put("a", b"1", 0).value, b"1")

    def test_bad_address_is_refused(self):
        for address in ("", "host", ":1", "host:0", "host:99999", "h:1,"):
            with self.assertRaises(SettingError):
                PlatformClient(address)


class BrokenServerTest(unittest.TestCase):

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def make_client(self, data):
        """Return a client whose first request gets these bytes."""

        def serve():
            connection, _ = self.listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(data)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join, HANG_GUARD_S)
        port = self.listener.getsockname()[1]
        client = PlatformClient(f"127.0.0.1:{port}", timeout_s=HANG_GUARD_S)
        self.addCleanup(client.close)
        return client

    def test_broken_answers(self):
        head = b"HTTP/1.1 200 OK\r\nPlatform-Revision: 7\r\n"
        huge = b"x" * (protocol.MAX_ANSWER_BYTES + 1)
        lost, malformed = "platform_answer_lost", "platform_answer_malformed"
        cases = [
            (head + b"Content-Length: 5\r\n\r\nab", lost),
            (b"nonsense\r\n\r\n", lost),
            (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", lost),
            (head + b"\r\n" + huge, lost),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", malformed),
            (b"HTTP/1.1 302 No\r\nLocation: /x\r\n\r\n", "platform_refused"),
        ]
        for data, code in cases:
            with self.assertRaises(PlatformError) as caught:
                self.make_client(data).get("a")
            self.assertEqual(caught.exception.code, code, data[:80])
            with self.assertRaises(PlatformError) as caught:
                self.make_client(data).put("a", b"", 0)
            self.assertEqual(caught.exception.code, code, data[:80])
            unknown = isinstance(caught.exception, OutcomeUnknownError)
            self.assertEqual(unknown, code != "platform_refused")
