"""Tests of the HTTP listener over real sockets on loopback."""

import socket
import threading
import unittest

from kumquatwalk.gateway.request import HttpRequest
from kumquatwalk.gateway.response import HttpResponse
from kumquatwalk.gateway.server import HttpServer
from kumquatwalk.gateway.workers import WorkerPool

HANG_GUARD_S = 30.0
BODY_MAX = 1000
HEADER_MAX = 2000


class HttpServerTest(unittest.TestCase):

    def setUp(self):
        self.requests: list[HttpRequest] = []
        self.hold = threading.Event()
        self.hold.set()
        self.entered = threading.Event()
        self.server = HttpServer(
            "127.0.0.1",
            0,
            self._handle,
            WorkerPool("test", 8),
            BODY_MAX,
            HEADER_MAX,
        )
        self.server.start()
        self.addCleanup(self.server.close, HANG_GUARD_S)
        self.addCleanup(self.hold.set)

    def _handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        self.entered.set()
        self.hold.wait(HANG_GUARD_S)
        return HttpResponse(200, b"X-Test: 1\r\n", request.body)

    def _connect(self) -> socket.socket:
        address = ("127.0.0.1", self.server.port)
        sock = socket.create_connection(address, timeout=HANG_GUARD_S)
        self.addCleanup(sock.close)
        return sock

    def _exchange(self, data: bytes) -> bytes:
        sock = self._connect()
        sock.sendall(data)
        return _read_all(sock)

    def test_keep_alive_answers_in_order(self):
        one = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1"
        two = (
            b"POST /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Content-Length: 1\r\n\r\n2"
        )
        answer = self._exchange(one + two)
        self.assertEqual(answer.count(b"HTTP/1.1 200 OK"), 2)
        self.assertLess(answer.index(b"\r\n\r\n1"), answer.index(b"\r\n\r\n2"))

    def test_chunked_body_is_joined(self):
        answer = self._exchange(
            b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertTrue(answer.endswith(b"\r\n\r\nabcde"))

    def test_malformed_request_line_is_refused(self):
        answer = self._exchange(b"nonsense\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.requests, [])

    def test_oversize_headers_are_refused(self):
        lines = b"X: " + b"y" * HEADER_MAX
        answer = self._exchange(b"GET / HTTP/1.1\r\n" + lines + b"\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.requests, [])

    def test_oversize_body_is_refused_unread(self):
        answer = self._exchange(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.requests, [])

    def test_oversize_chunked_body_is_refused(self):
        chunk = b"400\r\n" + b"z" * 1024 + b"\r\n"
        answer = self._exchange(
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk
            + b"0\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.requests, [])

    def test_body_cut_short_by_the_caller_is_not_handled(self):
        sock = self._connect()
        sock.sendall(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"
        )
        sock.shutdown(socket.SHUT_WR)
        _read_all(sock)
        self.assertEqual(self.requests, [])

    def test_close_serves_what_is_in_progress(self):
        self.hold.clear()
        sock = self._connect()
        sock.sendall(
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1"
        )
        self.assertTrue(self.entered.wait(HANG_GUARD_S))
        closer = threading.Thread(target=self.server.close, args=(20.0,))
        closer.start()
        self.hold.set()
        self.assertTrue(_read_all(sock).endswith(b"\r\n\r\n1"))
        closer.join(HANG_GUARD_S)

    def test_draining_closes_each_connection_after_its_answer(self):
        self.server.drain()
        answer = self._exchange(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"Connection: close\r\n", answer)


def _read_all(sock: socket.socket) -> bytes:
    data = b""
    while piece := sock.recv(65536):
        data += piece
    return data
