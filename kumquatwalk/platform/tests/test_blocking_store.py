"""Tests of the blocking store client with stand-in and broken servers."""

import base64
import json
import socket
import threading
import unittest

import urllib3

from kumquatwalk.exception import CompareFailedError
from kumquatwalk.exception import OutcomeUnknownError
from kumquatwalk.exception import PlatformError
from kumquatwalk.exception import PlatformReadError
from kumquatwalk.exception import PlatformUnavailableError
from kumquatwalk.exception import SettingError
from kumquatwalk.platform.blocking_store import VALUE_BYTES_MAX
from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.platform.store_position import ABSENT
from kumquatwalk.standin.store_faults import StoreFaults
from kumquatwalk.standin.store_thread import StoreThread

SHORT_TIMEOUT_S = 0.2
# Only ends a test that would hang; no passing test waits this long.
HANG_GUARD_S = 30.0


class StandinTest(unittest.TestCase):

    def setUp(self):
        self.store = StoreThread()
        self.store.start()
        self.addCleanup(self.store.close)
        self.client = self.make_client()

    def make_client(self, timeout_s=HANG_GUARD_S):
        client = BlockingStoreClient(self.store.address, timeout_s)
        return client

    def check_error(self, kind, call, *arguments):
        with self.assertRaises(kind) as caught:
            call(*arguments)
        self.assertIs(type(caught.exception), kind)
        return caught.exception.code

    def test_compare_and_swap(self):
        self.assertIsNone(self.client.get("a/b"))
        first = self.client.put("a/b", b"\0\xff", ABSENT)
        found = self.client.get("a/b")
        self.assertEqual((found.value, found.position), (b"\0\xff", first))
        second = self.client.put("a/b", b"2", first)
        self.assertGreater(second, first)
        for position in (first, ABSENT):
            code = self.check_error(
                CompareFailedError, self.client.put, "a/b", b"3", position
            )
            self.assertEqual(code, "compare_failed")
        found = self.client.get("a/b")
        self.assertEqual((found.value, found.position), (b"2", second))

    def test_value_size_limit(self):
        value = b"x" * VALUE_BYTES_MAX
        self.client.put("big", value, ABSENT)
        self.assertEqual(self.client.get("big").value, value)
        writes = self.store.count_calls("kv-txn")
        code = self.check_error(
            PlatformError, self.client.put, "c", value + b"x", 0
        )
        self.assertEqual(code, "value_too_large")
        self.assertEqual(self.store.count_calls("kv-txn"), writes)
        long = base64.b64encode(value + b"xxx").decode()
        put = {"key": "c", "value": long, "leaseId": 0}
        document = {"expected": [], "puts": [put], "deletes": []}
        answer = urllib3.request(
            "POST",
            f"http://{self.store.address}/kv-txn",
            body=json.dumps(document).encode(),
            retries=False,
        )
        self.assertEqual(answer.status, 413)

    def test_malformed_faults_are_rejected(self):
        for body in (b"{", b"[]", b'{"x":1}', b'{"delay_ms":true}', b"null"):
            url = f"http://{self.store.address}/faults"
            answer = urllib3.request("PUT", url, body=body, retries=False)
            self.assertEqual(answer.status, 400, body)

    def test_outage(self):
        self.store.set_faults(StoreFaults(outage=True))
        self.check_error(PlatformReadError, self.client.get, "a")
        self.check_error(OutcomeUnknownError, self.client.put, "a", b"", ABSENT)
        self.store.set_faults(StoreFaults())
        self.assertIsNone(self.client.get("a"))

    def test_lost_response_of_a_write_leaves_outcome_unknown(self):
        self.store.set_faults(StoreFaults(lose_answers=1))
        self.check_error(
            OutcomeUnknownError, self.client.put, "a", b"1", ABSENT
        )
        self.assertEqual(self.client.get("a").value, b"1")
        self.client.put("b", b"1", ABSENT)
        self.assertEqual(self.store.count_calls("kv-txn"), 2)

    def test_slow_responses_time_out(self):
        client = self.make_client(SHORT_TIMEOUT_S)
        self.store.set_faults(StoreFaults(delay_ms=60_000))
        self.check_error(PlatformReadError, client.get, "a")
        self.check_error(OutcomeUnknownError, client.put, "a", b"", ABSENT)

    def test_stale_reads(self):
        first = self.client.put("a", b"1", ABSENT)
        second = self.client.put("a", b"2", first)
        self.store.set_faults(StoreFaults(stale_reads=True))
        self.assertEqual(self.client.get("a").position, first)
        self.store.set_faults(StoreFaults())
        self.assertEqual(self.client.get("a").position, second)

    def test_calls_from_partitioned_hosts_fail(self):
        self.store.set_faults(StoreFaults(cut_hosts=("127.0.0.",)))
        self.check_error(PlatformReadError, self.client.get, "a")
        self.store.set_faults(StoreFaults(cut_hosts=("127.0.3.",)))
        self.assertIsNone(self.client.get("a"))

    def test_unreachable_store_is_reported(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            client = BlockingStoreClient(address)
            self.check_error(PlatformUnavailableError, client.get, "a")
            self.check_error(
                PlatformUnavailableError, client.put, "a", b"", ABSENT
            )

    def test_malformed_address_is_rejected(self):
        for address in ("", "host", ":1", "host:99999", "h:1,"):
            with self.assertRaises(SettingError):
                BlockingStoreClient(address)


class BrokenServerTest(unittest.TestCase):

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def make_client(self, data):
        """Return a client whose first request is answered with these bytes."""

        def serve():
            connection, _ = self.listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(data)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join, HANG_GUARD_S)
        port = self.listener.getsockname()[1]
        client = BlockingStoreClient(f"127.0.0.1:{port}", HANG_GUARD_S)
        return client

    def test_malformed_responses(self):
        head = b"HTTP/1.1 200 OK\r\n"
        cases = [
            (head + b"Content-Length: 5\r\n\r\nab", True),
            (b"nonsense\r\n\r\n", True),
            (head + b"Content-Length: 2\r\n\r\n{]", True),
            (head + b"Content-Length: 2\r\n\r\n{}", True),
            (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", False),
            (b"HTTP/1.1 302 No\r\nContent-Length: 0\r\n\r\n", False),
        ]
        for data, is_unusable in cases:
            with self.assertRaises(PlatformError) as caught:
                self.make_client(data).get("a")
            is_read_error = isinstance(caught.exception, PlatformReadError)
            self.assertEqual(is_read_error, is_unusable, data)
            with self.assertRaises(PlatformError) as caught:
                self.make_client(data).put("a", b"", ABSENT)
            is_unknown_outcome = isinstance(
                caught.exception, OutcomeUnknownError
            )
            self.assertEqual(is_unknown_outcome, is_unusable, data)
