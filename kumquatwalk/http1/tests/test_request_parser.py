"""Tests for the request parser."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatwalk.exception import RequestError
from kumquatwalk.http1.request_parser import RequestParser

_GET = b"GET /a/b?c HTTP/1.1\r\nHost: x\r\nAttempt-Id: 1\r\n\r\n"
_CHUNKED = (
    b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
_SIZED = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde"


def parse(data: bytes, header_bytes_max=1000, body_bytes_max=1000):
    """Return the requests that a new parser finds in the bytes."""
    return RequestParser(header_bytes_max, body_bytes_max).feed(data, 1.0)


class RequestParserTest(unittest.TestCase):

    def test_pipelined_requests_are_all_returned_in_order(self):
        requests = parse(_GET + _CHUNKED + _SIZED + _GET)
        bodies = [r.body for r in requests]
        self.assertEqual(bodies, [b"", b"abcde", b"abcde", b""])
        self.assertEqual(requests[0].url, b"/a/b?c")
        self.assertEqual(requests[0].find_header(b"attempt-id"), b"1")

    def test_header_line_without_end_is_refused(self):
        # The parser reports a header line only when it is complete.
        parser = RequestParser(1000, 1000)
        parser.feed(b"GET / HTTP/1.1\r\nX-Endless: ", 1.0)
        fed = 0
        with self.assertRaises(RequestError) as caught:
            while fed < 1 << 20:
                parser.feed(b"y" * 4096, 1.0)
                fed += 4096
        self.assertEqual(caught.exception.code, "head_too_long")
        self.assertLess(fed, 32768)

    def test_head_behind_a_long_body_is_not_refused(self):
        body = b"b" * 60000
        post = b"POST /p HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        parser = RequestParser(1000, 100000)
        self.assertEqual(len(parser.feed(post + body + _GET[:20], 1.0)), 1)
        self.assertEqual(parser.feed(_GET[20:30], 1.0), [])
        self.assertEqual(len(parser.feed(_GET[30:], 1.0)), 1)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.integers(0, 300), max_size=6))
    def test_requests_are_parsed_at_any_read_boundary(self, cuts):
        data = _GET + _CHUNKED + _SIZED
        parser = RequestParser(1000, 1000)
        found = []
        points = sorted({0, len(data), *(c % len(data) for c in cuts)})
        for start, end in zip(points, points[1:]):
            found += parser.feed(data[start:end], 1.0)
        self.assertEqual([r.body for r in found], [b"", b"abcde", b"abcde"])
        self.assertFalse(parser.is_in_message)

    def test_request_smuggling_is_rejected(self):
        head = b"POST /p HTTP/1.1\r\nHost: x\r\n"
        hidden = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
        for name, data in {
            "two lengths": head
            + b"Content-Length: 0\r\nContent-Length: 40\r\n\r\n"
            + hidden,
            "list of lengths": head + b"Content-Length: 0, 40\r\n\r\n" + hidden,
            "length and chunks": head
            + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"0\r\n\r\n"
            + hidden,
            "bad chunk size": head
            + b"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
            "negative chunk size": head
            + b"Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
            "chunked not last": head
            + b"Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
            "signed length": head + b"Content-Length: +5\r\n\r\nabcde",
            "space before colon": head + b"Content-Length : 5\r\n\r\nabcde",
            "folded header": head + b"X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
            "bare line feeds": b"GET /p HTTP/1.1\nHost: x\n\n",
        }.items():
            with self.subTest(name), self.assertRaises(RequestError):
                parser = RequestParser(1000, 1000)
                parser.feed(data, 1.0)
                urls = [r.url for r in parser.take_completed()]
                self.assertNotIn(b"/hidden", urls)

    def test_head_or_body_over_limit_raises_request_error(self):
        with self.assertRaises(RequestError) as caught:
            parse(b"GET /p HTTP/1.1\r\nX: " + b"a" * 2000 + b"\r\n\r\n")
        self.assertEqual(caught.exception.code, "head_too_long")
        with self.assertRaises(RequestError) as caught:
            parse(_SIZED, body_bytes_max=4)
        self.assertEqual(caught.exception.code, "body_too_long")

    def test_incomplete_head_has_start_time(self):
        parser = RequestParser(1000, 1000)
        parser.feed(b"GE", 7.0)
        self.assertTrue(parser.is_in_head)
        self.assertEqual(parser.started_at, 7.0)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_random_bytes_parse_or_raise_request_error(self, data):
        try:
            parse(data)
        except RequestError:
            pass


if __name__ == "__main__":
    unittest.main()
