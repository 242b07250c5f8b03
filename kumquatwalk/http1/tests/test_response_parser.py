"""Tests of responses whose bytes come without end."""

import unittest

from kumquatwalk.http1.response_parser import HEAD_BYTES_MAX
from kumquatwalk.http1.response_parser import ResponseParser

CHUNK = b"x" * 4096


class EndlessResponseTest(unittest.TestCase):

    def feed_until_refused(self, parser, chunk: bytes, bytes_max: int) -> int:
        """Feed a chunk again and again; return the bytes fed until refused."""
        fed = 0
        while not parser.is_too_long and fed < 4 * bytes_max:
            parser.feed(chunk)
            fed += len(chunk)
        self.assertTrue(parser.is_too_long)
        return fed

    def test_header_line_without_end_is_refused(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(b"HTTP/1.1 200 OK\r\nX-Endless: ")
        fed = self.feed_until_refused(parser, CHUNK, HEAD_BYTES_MAX)
        self.assertLessEqual(fed, HEAD_BYTES_MAX + len(CHUNK))

    def test_header_lines_without_end_are_refused(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(b"HTTP/1.1 200 OK\r\n")
        line = b"X-Many: " + b"y" * 1000 + b"\r\n"
        self.feed_until_refused(parser, line, HEAD_BYTES_MAX)

    def test_interim_responses_without_end_are_refused(self):
        parser = ResponseParser(False, 1 << 20)
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" * 50
        self.feed_until_refused(parser, interim, HEAD_BYTES_MAX)

    def test_body_without_end_is_refused(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(b"HTTP/1.1 200 OK\r\n\r\n")
        self.feed_until_refused(parser, CHUNK, 1 << 20)

    def test_long_head_below_the_limit_is_read(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: ")
        parser.feed(b"z" * 60000)
        parser.feed(b"\r\n\r\nok")
        (response,) = parser.take_completed()
        self.assertEqual(response.body, b"ok")
        self.assertFalse(parser.is_too_long)


if __name__ == "__main__":
    unittest.main()
