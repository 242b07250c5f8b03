"""Test that a parser does not keep the bytes that it has refused."""

import gc
import sys
import unittest

from kumquatwalk.exception import RequestError
from kumquatwalk.http1.request_parser import RequestParser

_CHUNKED = b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


class RefusedInputTest(unittest.TestCase):

    def setUp(self):
        gc.disable()
        self.addCleanup(gc.enable)

    # Guards against FAULT: each refused client held its last 256 KB, by the
    # traceback of the error, until the next collection of reference cycles.
    def test_refused_bytes_are_released_with_the_error(self):
        for rest in (b"1\r\nx\r\n" * 40_000, b"1\r\nx\r\nNONSENSE"):
            with self.subTest(rest[-8:]):
                parser = RequestParser(1000, 1 << 20)
                data = _CHUNKED + rest
                held = sys.getrefcount(data)
                with self.assertRaises(RequestError):
                    parser.feed(data, 1.0)
                parser.release()
                self.assertEqual(sys.getrefcount(data), held)


if __name__ == "__main__":
    unittest.main()
