"""Tests of responses whose bytes come without end."""

import contextlib
import gc
import tracemalloc
import unittest

import httptools

from kumquatwalk.http1.body_buffer import PARTS_MAX
from kumquatwalk.http1.body_buffer import BodyBuffer
from kumquatwalk.http1.byte_budget import ByteBudget
from kumquatwalk.http1.response_parser import HEAD_BYTES_MAX
from kumquatwalk.http1.response_parser import HEADERS_MAX
from kumquatwalk.http1.response_parser import ResponseParser

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"x" * 4096


class EndlessResponseTest(unittest.TestCase):

    def feed_until_refused(self, parser, chunk: bytes, bytes_max: int) -> int:
        """Feed a chunk again and again; return the bytes fed until refused."""
        fed = 0
        while not parser.is_too_long and fed < 4 * bytes_max:
            with contextlib.suppress(httptools.HttpParserError):
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

    # Guards against FAULT: trailers without end took all of the memory.
    def test_long_trailers_without_end_are_refused(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(CHUNKED + b"1\r\nx\r\n0\r\n")
        line = b"X-Many: " + b"y" * 1000 + b"\r\n"
        self.feed_until_refused(parser, line, HEAD_BYTES_MAX)

    # Guards against FAULT: the same by lines of a few bytes, whose objects take
    # many times their size.
    def test_short_trailers_without_end_are_refused(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(CHUNKED + b"1\r\nx\r\n0\r\n")
        self.feed_until_refused(parser, b"a: b\r\n", 7 * HEADERS_MAX)

    # Guards against FAULT: the same by one line.
    def test_trailer_line_without_end_is_refused(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(CHUNKED + b"1\r\nx\r\n0\r\nX: ")
        self.feed_until_refused(parser, CHUNK, HEAD_BYTES_MAX)

    def test_chunk_extension_without_end_is_refused(self):
        parser = ResponseParser(False, 1 << 20)
        parser.feed(CHUNKED + b"1;")
        self.feed_until_refused(parser, CHUNK, HEAD_BYTES_MAX)

    def test_trailers_and_unfinished_lines_count_in_the_budget(self):
        budget = ByteBudget(1 << 20)
        parser = ResponseParser(False, 1 << 20, budget)
        parser.feed(CHUNKED + b"1\r\nx\r\n0\r\n")
        before = budget.used
        parser.feed(b"X: " + b"y" * 1000 + b"\r\n")
        self.assertGreaterEqual(budget.used, before + 1000)
        parser.feed(b"Z: " + b"y" * 1000)
        self.assertGreaterEqual(budget.used, before + 2000)
        parser.release()
        self.assertEqual(budget.used, 0)

    # Guards against FAULT: each chunk of two bytes took some forty.
    def test_short_parts_take_little_more_than_their_size(self):
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        body = BodyBuffer()
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(500_000):
            body.add(bytes(bytearray(b"zz")))
        grown = tracemalloc.get_traced_memory()[0] - before
        self.assertLess(grown, 2 * 1_000_000)

    # Guards against LOST: an answer in chunks of two bytes without end kept the
    # event loop busy, so that other requests were late or cut at a stop.
    def test_short_chunks_without_end_are_refused(self):
        parser = ResponseParser(False, 1 << 24)
        parser.feed(CHUNKED)
        chunk = b"2\r\nzz\r\n"
        fed = self.feed_until_refused(parser, chunk, PARTS_MAX * len(chunk))
        self.assertLessEqual(fed, (PARTS_MAX + 1) * len(chunk))

    # Guards against LOST: what came after the limit, up to 2 MB in one turn of
    # the loop, was parsed in full.
    def test_no_more_is_parsed_of_what_is_too_long(self):
        budget = ByteBudget(1 << 24)
        for head, part in (
            (CHUNKED, b"2\r\nzz\r\n"),
            (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
        ):
            parser = ResponseParser(False, 1 << 24, budget)
            parser.feed(head)
            with (
                self.subTest(part),
                self.assertRaises(httptools.HttpParserError),
            ):
                parser.feed(part * 100_000)
            self.assertTrue(parser.is_too_long)
            self.assertLess(budget.used, 300_000)
            parser.release()

    def test_chunks_of_some_size_are_read_in_any_number(self):
        parser = ResponseParser(False, 1 << 24)
        parser.feed(CHUNKED)
        parser.feed((b"40\r\n" + b"z" * 64 + b"\r\n") * 2 * PARTS_MAX)
        parser.feed(b"0\r\n\r\n")
        (response,) = parser.take_completed()
        self.assertEqual(len(response.body), 2 * PARTS_MAX * 64)
        self.assertFalse(parser.is_too_long)

    # Guards against FAULT: a body that was received in part stayed until the
    # garbage collector ran, though no budget counted it any more.
    def test_release_drops_a_body_that_was_received_in_part(self):
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        parser = ResponseParser(False, 1 << 24)
        parser.feed(CHUNKED)
        for _ in range(100):
            parser.feed(b"8000\r\n" + b"z" * 0x8000 + b"\r\n")
        parser.release()
        del parser
        held = tracemalloc.get_traced_memory()[0] - before
        self.assertLess(held, 500_000)

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
