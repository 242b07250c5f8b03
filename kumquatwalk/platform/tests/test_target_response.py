"""Tests of what a target's response says of the target itself."""

import unittest

from kumquatwalk.http1.message import HttpResponse
from kumquatwalk.platform.target_response import decode_target_response
from kumquatwalk.platform.target_response import read_target_slots
from kumquatwalk.platform.target_response import read_target_slowness
from kumquatwalk.targets.rate_limit import NO_RATE_LIMIT
from kumquatwalk.targets.rate_limit import RateLimit


def decode(*headers, status=200):
    """Decode a response to request ``id``."""
    headers = ((b"Attempt-Id", b"id"), (b"Server-Seal", b"s"), *headers)
    return decode_target_response(HttpResponse(status, headers, b""), b"id")


class LeavingTest(unittest.TestCase):

    def test_leaving_is_read_from_any_status(self):
        for status in (200, 404, 421, 429, 500, 503, 504):
            check = decode((b"server-LEAVING", b"1"), status=status)
            self.assertTrue(check.is_leaving)
            self.assertFalse(decode(status=status).is_leaving)


class ReplacedTest(unittest.TestCase):

    # Guards against callers that get the 421 of a target's address, where the
    # node went on taking the target for the one that it knew.
    def test_421_says_without_a_header_that_the_target_was_replaced(self):
        for headers in ((), ((b"Instance-Id", b"i-2"),)):
            response = HttpResponse(421, headers, b"")
            check = decode_target_response(response, b"id")
            self.assertTrue(check.was_not_run)
            self.assertTrue(check.is_replaced)

    def test_other_refusals_need_the_header(self):
        for status in (400, 429, 503):
            for headers in ((), ((b"Not-Executed", b"1"),)):
                response = HttpResponse(status, headers, b"")
                check = decode_target_response(response, b"id")
                self.assertIs(check.was_not_run, bool(headers))
                self.assertFalse(check.is_replaced)


class RateLimitTest(unittest.TestCase):

    def test_named_rate_is_read_from_any_status(self):
        for status in (200, 404, 421, 429, 500, 503, 504):
            check = decode((b"server-LIMIT", b"28.2"), status=status)
            self.assertEqual(check.rate_limit, RateLimit(True, 28.2))

    def test_response_without_the_header_names_none(self):
        self.assertEqual(decode().rate_limit, NO_RATE_LIMIT)

    def test_zero_and_large_rates_are_read(self):
        for text, rate in ((b"0", 0.0), (b"0.0", 0.0), (b"999999999", 1e9 - 1)):
            check = decode((b"Server-Limit", text))
            self.assertEqual(check.rate_limit, RateLimit(True, rate))

    def test_other_text_is_named_and_unreadable(self):
        for text in (
            b"",
            b"-1",
            b"+1",
            b"nan",
            b"inf",
            b"1e3",
            b"1,5",
            b"1.",
            b".5",
            b"1" * 400,
            b"28.2 ",
            b"\xd9\xa1",
        ):
            with self.subTest(text):
                check = decode((b"Server-Limit", text))
                self.assertEqual(check.rate_limit, RateLimit(True, None))


class LoadTest(unittest.TestCase):

    def check(self, text, slots, slowness):
        """Check what is read from a load header, on runs and probes."""
        with self.subTest(text):
            response = HttpResponse(200, ((b"INSTANCE-load", text),), b"")
            self.assertEqual(read_target_slots(response), slots)
            self.assertEqual(read_target_slowness(response), slowness)
            check = decode((b"instance-LOAD", text), status=503)
            self.assertEqual(check.slowness, slowness)

    # Guards against a target that gets the default number of slots because it
    # reports a figure more.
    def test_three_or_four_figures_are_read(self):
        self.check(b"3,0,16", 16, None)
        self.check(b"3, 0, 16 ", 16, None)
        self.check(b"3,0,16,100", 16, 1.0)
        self.check(b"3,0,16, 250", 16, 2.5)
        self.check(b"3,0,16,62.5", 16, 0.625)
        self.check(b"3,0,16,0", 16, None)

    def test_other_text_says_nothing(self):
        for text in (
            b"",
            b"16",
            b"3,16",
            b"3,0,x",
            b"3,0,-1",
            b"3,0,",
            b"3,0,16,",
            b"3,0,16,x",
            b"3,0,16,-5",
            b"3,0,16,1e9",
            b"3,0,16,nan",
            b"3,0,16,9999999",
            b"3,0,,100",
            b"3,0,16,100,1",
            b"3,0," + b"1" * 5000,
        ):
            self.check(text, 0, None)

    def test_response_without_the_header_says_nothing(self):
        self.assertIsNone(decode().slowness)
        self.assertIsNone(read_target_slowness(HttpResponse(200)))


if __name__ == "__main__":
    unittest.main()
