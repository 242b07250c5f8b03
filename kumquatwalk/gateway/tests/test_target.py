"""Tests of the HTTP client towards a target."""

import socket
import threading
import unittest

import httptools
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.exception import LinkError
from kumquatwalk.gateway.answer_parser import AnswerParser
from kumquatwalk.gateway.target import TargetClient

HANG_GUARD_S = 30.0
BODY_MAX = 1000
WHOLE = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)


class AnswerParserTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None)
    @given(st.sampled_from((WHOLE, CHUNKED)), st.integers(1, 80), st.booleans())
    def test_answer_in_pieces_is_whole(self, data, size, has_interim):
        parser = AnswerParser(False, BODY_MAX)
        if has_interim:
            data = b"HTTP/1.1 100 Continue\r\n\r\n" + data
        for at in range(0, len(data), size):
            self.assertFalse(parser.is_complete)
            parser.feed(data[at : at + size])
        self.assertTrue(parser.is_complete)
        self.assertEqual(parser.body, b"hello")
        self.assertTrue(parser.should_keep_alive)

    def test_answer_to_head_has_no_body(self):
        parser = AnswerParser(True, BODY_MAX)
        parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        self.assertTrue(parser.is_complete)

    def test_own_headers_of_the_target_are_not_passed_on(self):
        parser = AnswerParser(False, BODY_MAX)
        parser.feed(
            b"HTTP/1.1 503 X\r\nKumquat-Not-Run: 1\r\n"
            b"Kumquat-Outcome: done\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertTrue(parser.is_not_run)
        self.assertEqual(parser.headers, b"")

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=100))
    def test_random_bytes_are_a_parser_error_or_no_answer(self, data):
        parser = AnswerParser(False, BODY_MAX)
        try:
            parser.feed(data)
        except httptools.HttpParserError:
            return
        self.assertFalse(parser.is_complete)


class TargetClientTest(unittest.TestCase):

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.client = TargetClient("127.0.0.1", port, BODY_MAX)
        self.addCleanup(self.client.close)
        self.accepted = 0

    def _serve(self, *answers: bytes) -> None:
        """Answer one connection a tuple item; an empty answer closes it."""

        def run():
            sock, _ = self.listener.accept()
            self.accepted += 1
            for answer in answers:
                sock.recv(65536)
                if not answer:
                    break
                sock.sendall(answer)
            sock.close()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, HANG_GUARD_S)

    def _send(self, timeout_s: float = HANG_GUARD_S):
        return self.client.send("POST", b"/pay", b"", b"x", timeout_s)

    def test_connection_is_used_again(self):
        self._serve(WHOLE, CHUNKED)
        self.assertEqual(self._send().body, b"hello")
        self.assertEqual(self._send().body, b"hello")
        self.assertEqual(self.accepted, 1)

    def test_connection_closed_before_the_answer_may_have_run(self):
        self._serve(b"")
        with self.assertRaises(LinkError) as caught:
            self._send()
        self.assertTrue(caught.exception.sent)

    def test_refused_connection_is_certainly_not_sent(self):
        self.listener.close()
        with self.assertRaises(LinkError) as caught:
            self._send()
        self.assertFalse(caught.exception.sent)

    def test_answer_cut_short_is_not_passed_on(self):
        self._serve(WHOLE[:-2], b"")
        with self.assertRaises((LinkError, TimeoutError)):
            self._send(timeout_s=0.2)

    def test_late_answer_does_not_reach_the_next_call(self):
        self._serve()
        with self.assertRaises((LinkError, TimeoutError)):
            self._send(timeout_s=0.05)
        self._serve(WHOLE)
        self.assertEqual(self._send().body, b"hello")

    def test_oversize_answer_is_cut_off(self):
        size = BODY_MAX + 1
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        self._serve(head + b"z" * size)
        with self.assertRaises(LinkError):
            self._send()
